package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the length of a token of prompt text.
	bytesPerToken = 4
	// blockBytes is the unit in which prompt prefixes are cached.
	blockBytes = 256
)

// promptTokens returns the length of a prompt in tokens.
func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// poisonous reports whether a prompt crashes the engine.
func poisonous(prompt, marker string) bool {
	return marker != "" && strings.Contains(prompt, marker)
}

// blockCache remembers prompt prefixes in blocks, the least used go first.
type blockCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	used     *list.List
}

// newBlockCache returns an empty cache of some blocks.
func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: make(map[uint64]*list.Element), used: list.New()}
}

// clear empties the cache.
func (c *blockCache) clear() {
	clear(c.blocks)
	c.used.Init()
}

// lookUp returns how many leading blocks of a prompt were cached, and caches
// all of them.
func (c *blockCache) lookUp(prompt string) int {
	hits, missed := 0, false
	var chain uint64
	for i := 0; i+blockBytes <= len(prompt); i += blockBytes {
		chain = chain*31 + xxhash.Sum64String(prompt[i:i+blockBytes])
		e, ok := c.blocks[chain]
		if ok {
			c.used.MoveToFront(e)
		} else {
			missed = true
			c.add(chain)
		}
		if !missed {
			hits++
		}
	}
	return hits
}

// add caches a block.
func (c *blockCache) add(chain uint64) {
	c.blocks[chain] = c.used.PushFront(chain)
	for c.used.Len() > c.capacity {
		last := c.used.Back()
		old, _ := c.used.Remove(last).(uint64)
		delete(c.blocks, old)
	}
}
