package engine

import (
	"container/list"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 16

// blockHash names a block together with all blocks before it.
type blockHash uint64

// promptWords returns the tokens of messages. The first word of a message carries
// its role, so that equal promptWords of other speakers differ.
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

// chainedHashes returns the chained hashes of the full chainedHashes of tokens.
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

// cacheEntry is one block in the cache.
type cacheEntry struct {
	hash blockHash
	chat string // the chat that stored the block last
}

// prefixCache holds a limited number of blocks and forgets the least recently used.
type prefixCache struct {
	limit         int
	order         *list.List // of *entry, the most recently used first
	byHash        map[blockHash]*list.Element
	chatBlocks    map[string][]blockHash // the last blocks of a chat, in order
	residentCount map[string]int         // blocks of a chat in the cache
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

// matchPrefix returns how many leading blocks are cached, and marks them as used.
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

// store keeps the blocks of chat and returns the chats of which nothing is
// left. The first blocks are used last, so that a chat loses its end first.
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

// evictOldest evicts one block and returns its chat if that was its last.
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

// decrementResident counts one block less of chat and tells whether it was the last.
func (c *prefixCache) decrementResident(chat string) bool {
	c.residentCount[chat]--
	if c.residentCount[chat] > 0 {
		return false
	}
	delete(c.residentCount, chat)
	delete(c.chatBlocks, chat)
	return true
}

// export returns the leading blocks of chat that are still cached.
func (c *prefixCache) export(chat string) []blockHash {
	hashes := c.chatBlocks[chat]
	return hashes[:c.matchPrefix(hashes)]
}
