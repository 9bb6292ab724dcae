// Package rendezvous ranks members for a key by highest random weight, alike wherever the same
// members are ranked, and with little change where one comes or goes. Nothing is decided here.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Hash spreads a member's name over 64 bits.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Weight is the rank of a member, by the hash of its name, for a key.
func Weight(hash, key uint64) uint64 {
	n := (hash ^ key*0xff51afd7ed558ccd) * 0x9e3779b97f4a7c15
	n = (n ^ n>>32) * 0xc4ceb9fe1a85ec53
	return n ^ n>>29
}

// Top gives the n members of the highest weight, highest first, or all where there are fewer. It
// sorts a copy of them.
func Top[Member any](members []Member, n int, weight func(Member) uint64) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(weight(b), weight(a)) })
	return sorted[:min(n, len(sorted))]
}
