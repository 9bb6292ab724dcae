// Package rendezvous ranks members for a key by rendezvous hashing (highest random weight). The
// same members give the same ranking in every process, and adding or removing a member changes
// little. It makes no routing decisions.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Hash returns the 64-bit hash of a member's name.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Weight returns the weight of a member for a key, from the hash of its name.
func Weight(hash, key uint64) uint64 {
	n := (hash ^ key*0xff51afd7ed558ccd) * 0x9e3779b97f4a7c15
	n = (n ^ n>>32) * 0xc4ceb9fe1a85ec53
	return n ^ n>>29
}

// Top returns the n members with the highest weights, highest first, or all if there are fewer.
// It leaves members unchanged.
func Top[Member any](members []Member, n int, weight func(Member) uint64) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(weight(b), weight(a)) })
	return sorted[:min(n, len(sorted))]
}
