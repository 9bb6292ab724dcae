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

func TestTop_EvenSpread(t *testing.T) {
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

func TestTop_MemberOrderAndRemoval(t *testing.T) {
	all := members(10)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	for key := range uint64(1000) {
		first := top(all, 3, key)
		if got := top(reversed, 3, key); !slices.Equal(got, first) {
			t.Fatalf("key %d: top members %x, but %x after reversing the order of the members", key, first, got)
		}
		rest := slices.DeleteFunc(slices.Clone(all), func(hash uint64) bool { return hash == first[0] })
		if got := top(rest, 2, key); !slices.Equal(got, first[1:]) {
			t.Fatalf("key %d: top members %x after removing the first, want %x", key, got, first[1:])
		}
	}
}

func TestTop_FewerMembersThanRequested(t *testing.T) {
	if got := top(members(2), 5, 1); len(got) != 2 {
		t.Errorf("%d members, want 2", len(got))
	}
	if got := top(nil, 5, 1); len(got) != 0 {
		t.Errorf("%d members out of none, want 0", len(got))
	}
}
