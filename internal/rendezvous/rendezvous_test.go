package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func members(n int) (hashes []uint64) {
	for i := range n {
		hashes = append(hashes, Hash(fmt.Sprint("member", i)))
	}
	return hashes
}

func top(hashes []uint64, n int, key uint64) []uint64 {
	return Top(hashes, n, func(hash uint64) uint64 { return Weight(hash, key) })
}

func TestTop_IsSpreadOverMembers(t *testing.T) {
	all, count := members(10), map[uint64]int{}
	for key := range uint64(10000) {
		count[top(all, 1, key*7919)[0]]++
	}
	for hash, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("member %x is first for %d of 10,000 keys", hash, n)
		}
	}
	if len(count) != len(all) {
		t.Errorf("%d of %d members are first for some key", len(count), len(all))
	}
}

func TestTop_OrderAndLossesChangeLittle(t *testing.T) {
	all := members(10)
	turned := slices.Clone(all)
	slices.Reverse(turned)
	for key := range uint64(1000) {
		first := top(all, 3, key)
		if got := top(turned, 3, key); !slices.Equal(got, first) {
			t.Fatalf("key %d: %x in one order, %x in another", key, first, got)
		}
		rest := slices.DeleteFunc(slices.Clone(all), func(hash uint64) bool { return hash == first[0] })
		if got := top(rest, 2, key); !slices.Equal(got, first[1:]) {
			t.Fatalf("key %d: %x without the first, want %x", key, got, first[1:])
		}
	}
}

func TestTop_FewerThanWanted(t *testing.T) {
	if got := top(members(2), 5, 1); len(got) != 2 {
		t.Errorf("%d members", len(got))
	}
	if got := top(nil, 5, 1); len(got) != 0 {
		t.Errorf("%d of none", len(got))
	}
}
