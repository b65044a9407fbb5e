package engine

import (
	"container/list"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 16

// blockHash identifies a block together with all blocks before it.
type blockHash uint64

// promptWords returns the words of messages as prompt tokens. The first word of a
// message is prefixed with its role, so that equal texts with different roles
// yield different tokens.
func promptWords(messages []Message) []string {
	var out []string
	for _, m := range messages {
		for i, word := range strings.Fields(string(m.Content)) {
			if i == 0 {
				word = m.Role + "\x00" + word
			}
			out = append(out, word)
		}
	}
	return out
}

// chainedHashes returns one hash for each full block of tokens. Each hash covers
// its block and all blocks before it.
func chainedHashes(tokens []string) []blockHash {
	out := make([]blockHash, 0, len(tokens)/blockTokens)
	var chain blockHash
	for len(tokens) >= blockTokens {
		d := xxhash.New()
		_ = binary.Write(d, binary.LittleEndian, uint64(chain))
		for _, token := range tokens[:blockTokens] {
			_, _ = d.WriteString(token + " ")
		}
		chain = blockHash(d.Sum64())
		out = append(out, chain)
		tokens = tokens[blockTokens:]
	}
	return out
}

// cacheEntry is one cached block.
type cacheEntry struct {
	hash blockHash
	chat string // the chat that most recently stored the block
}

// prefixCache holds a limited number of blocks and evicts the least recently used.
type prefixCache struct {
	limit         int
	order         *list.List // of *cacheEntry, most recently used first
	byHash        map[blockHash]*list.Element
	chatBlocks    map[string][]blockHash // by chat, the blocks that it stored last, in prompt order
	residentCount map[string]int         // by chat, the number of its cached blocks
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{
		limit:         limit,
		order:         list.New(),
		byHash:        make(map[blockHash]*list.Element),
		chatBlocks:    make(map[string][]blockHash),
		residentCount: make(map[string]int),
	}
}

// matchPrefix returns the number of leading hashes that are cached, and marks
// them as recently used.
func (c *prefixCache) matchPrefix(hashes []blockHash) int {
	n := 0
	for n < len(hashes) && c.byHash[hashes[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.byHash[hashes[i]])
	}
	return n
}

// store caches the blocks of chat and returns the chats that lost their last
// block to eviction. Leading blocks are marked as used last, so that the end of a
// chat is evicted first.
func (c *prefixCache) store(chat string, hashes []blockHash) (evicted []string) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(chat, hashes[i])
	}
	if chat != "" {
		c.chatBlocks[chat] = hashes
	}
	for c.order.Len() > c.limit {
		if gone := c.evictOldest(); gone != "" {
			evicted = append(evicted, gone)
		}
	}
	return evicted
}

// touch adds a block or marks it as recently used, and assigns it to chat.
func (c *prefixCache) touch(chat string, hash blockHash) {
	el := c.byHash[hash]
	if el == nil {
		c.byHash[hash] = c.order.PushFront(&cacheEntry{hash: hash, chat: chat})
		c.residentCount[chat]++
		return
	}
	c.order.MoveToFront(el)
	e := el.Value.(*cacheEntry)
	c.decrementResident(e.chat)
	e.chat = chat
	c.residentCount[chat]++
}

// evictOldest evicts the least recently used block. It returns the block's chat if
// that was the chat's last block, and an empty string otherwise.
func (c *prefixCache) evictOldest() string {
	el := c.order.Back()
	e := el.Value.(*cacheEntry)
	c.order.Remove(el)
	delete(c.byHash, e.hash)
	if !c.decrementResident(e.chat) {
		return ""
	}
	return e.chat
}

// decrementResident subtracts one cached block of chat and reports whether it was
// the last.
func (c *prefixCache) decrementResident(chat string) bool {
	c.residentCount[chat]--
	if c.residentCount[chat] > 0 {
		return false
	}
	delete(c.residentCount, chat)
	delete(c.chatBlocks, chat)
	return true
}

// export returns the hashes of the leading blocks of chat that are still cached.
func (c *prefixCache) export(chat string) []blockHash {
	hashes := c.chatBlocks[chat]
	return hashes[:c.matchPrefix(hashes)]
}
