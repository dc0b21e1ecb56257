package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the assumed length of a token of prompt text, in bytes.
	bytesPerToken = 4
	// blockBytes is the size of a block of the prefix cache, in bytes of prompt
	// text.
	blockBytes = 256
)

// promptTokens returns the number of tokens of a prompt, rounded up.
func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// containsPoison reports whether a prompt contains the marker that crashes the
// engine. An empty marker matches no prompt.
func containsPoison(prompt, marker string) bool {
	return marker != "" && strings.Contains(prompt, marker)
}

// blockCache is an LRU cache of prompt prefixes in blocks of blockBytes.
type blockCache struct {
	capacity int // in blocks
	// blocks maps the hash of a prompt up to the end of a block to the element of
	// the block in lru.
	blocks map[uint64]*list.Element
	// lru holds the keys of blocks, most recently used first.
	lru *list.List
}

// newBlockCache returns an empty cache for up to capacity blocks.
func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// clear removes all blocks.
func (c *blockCache) clear() {
	clear(c.blocks)
	c.lru.Init()
}

// matchPrefix returns the number of leading blocks of a prompt that were
// cached, and caches all its blocks.
func (c *blockCache) matchPrefix(prompt string) int {
	hits, missed := 0, false
	var prefixHash uint64
	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		prefixHash = prefixHash*31 + xxhash.Sum64String(prompt[i:i+blockBytes])
		e, ok := c.blocks[prefixHash]
		if ok {
			c.lru.MoveToFront(e)
		} else {
			missed = true
			c.add(prefixHash)
		}
		if !missed {
			hits++
		}
	}
	return hits
}

// add inserts a block and evicts the least recently used ones beyond the
// capacity.
func (c *blockCache) add(prefixHash uint64) {
	c.blocks[prefixHash] = c.lru.PushFront(prefixHash)
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		old, _ := c.lru.Remove(last).(uint64)
		delete(c.blocks, old)
	}
}
