package engine

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache is a prefill engine's prefix cache: for each shared prefix and each session
// the number of cached tokens from its start on. A session's text follows its
// prefix. The least recently used text is evicted first, and the end of a text
// before its start, since the start is useful without the end.
//
// cachedTokens and add cost O(1); evict costs O(1) for each evicted text.
type cache struct {
	lru  *simplelru.LRU[textKey, *float64] // tokens; changed through the pointer, so that the change doesn't count as a use
	used float64                           // tokens
}

// textKey names a shared prefix or the text that a session adds to it.
type textKey struct {
	name     string
	isPrefix bool
}

func newCache() *cache {
	lru, err := simplelru.NewLRU[textKey, *float64](math.MaxInt32, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &cache{lru: lru}
}

// cachedTokens returns how many tokens from a prompt's start on are cached.
func (c *cache) cachedTokens(p Prompt) float64 {
	cached := 0.0
	if p.PrefixTokens > 0 {
		if cached = min(c.textTokens(textKey{p.Prefix, true}), p.PrefixTokens); cached < p.PrefixTokens {
			return cached
		}
	}
	return cached + min(c.textTokens(textKey{p.Session, false}), p.Tokens-cached)
}

// textTokens returns how much of a text is cached, and counts as a use of it.
func (c *cache) textTokens(k textKey) float64 {
	if cached, ok := c.lru.Get(k); ok {
		return *cached
	}
	return 0
}

// add caches a prompt that was computed, with at most room more tokens in use.
func (c *cache) add(p Prompt, room float64) {
	if p.PrefixTokens > 0 {
		room -= c.grow(textKey{p.Prefix, true}, p.PrefixTokens, room)
	}
	c.grow(textKey{p.Session, false}, p.Tokens-p.PrefixTokens, room)
}

func (c *cache) grow(k textKey, tokens, room float64) float64 {
	cached, ok := c.lru.Get(k)
	if !ok {
		cached = new(float64)
	}
	more := min(tokens-*cached, room)
	if more <= 0 || k.name == "" {
		return 0
	}
	*cached += more
	if !ok {
		c.lru.Add(k, cached)
	}
	c.used += more
	return more
}

// evict removes at least so many tokens, or all.
func (c *cache) evict(tokens float64) {
	for tokens > 0 {
		k, cached, ok := c.lru.GetOldest()
		if !ok {
			return
		}
		if *cached > tokens {
			*cached -= tokens
			c.used -= tokens
			return
		}
		tokens -= *cached
		c.used -= *cached
		c.lru.Remove(k)
	}
}

func (c *cache) clear() {
	c.lru.Purge()
	c.used = 0
}
