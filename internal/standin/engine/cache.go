package engine

import (
	"container/list"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the number of tokens of one cache block.
	blockTokens = 16
	blockBytes  = blockTokens * bytesPerToken
	// prefixBytes is the length of the prompt prefix that a cache event identifies.
	prefixBytes = 1024
)

// PrefixDigest returns the digest that identifies a prompt's prefix in cache events.
func PrefixDigest(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// prefixCache is an LRU cache of full prompt blocks. A block is identified by
// the digest of the prompt from its start to the end of the block.
type prefixCache struct {
	capacity    int
	order       *list.List
	blocks      map[uint64]*list.Element
	reportEvent func(at time.Time, kind string, prefix uint64)
}

type cacheBlock struct{ digest, prefix uint64 }

func newPrefixCache(capacity int, reportEvent func(time.Time, string, uint64)) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}, reportEvent: reportEvent}
}

// match returns the number of leading blocks of the prompt that are cached.
func (c *prefixCache) match(prompt string) int {
	n := 0
	c.eachBlock(prompt, func(digest uint64) bool {
		element, ok := c.blocks[digest]
		if ok {
			c.order.MoveToBack(element)
			n++
		}
		return ok
	})
	return n
}

// insert caches all full blocks of the prompt and evicts the least recently used ones.
func (c *prefixCache) insert(now time.Time, prompt string) {
	prefix := PrefixDigest(prompt)
	added := false
	c.eachBlock(prompt, func(digest uint64) bool {
		if element, ok := c.blocks[digest]; ok {
			c.order.MoveToBack(element)
			return true
		}
		c.blocks[digest] = c.order.PushBack(cacheBlock{digest: digest, prefix: prefix})
		added = true
		return true
	})
	if added {
		c.reportEvent(now, "cached", prefix)
	}
	evicted := map[uint64]bool{}
	for c.order.Len() > c.capacity {
		block := c.order.Remove(c.order.Front()).(cacheBlock)
		delete(c.blocks, block.digest)
		if !evicted[block.prefix] {
			evicted[block.prefix] = true
			c.reportEvent(now, "evicted", block.prefix)
		}
	}
}

// eachBlock calls f with the digest of each full block until f returns false.
func (c *prefixCache) eachBlock(prompt string, f func(digest uint64) bool) {
	hash := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		hash.WriteString(prompt[end-blockBytes : end])
		if !f(hash.Sum64()) {
			return
		}
	}
}

// maxEvents is the number of cache events kept for reading.
const maxEvents = 4096

// CacheEvent reports that a prefix was cached or evicted.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Type is "cached" or "evicted".
	Type string `json:"type"`
	// Prefix is the prefix digest in hexadecimal.
	Prefix string `json:"prefix"`
}

type loggedEvent struct {
	at    time.Time
	event CacheEvent
}

// eventLog publishes cache events after a lag, and leaves out every gap-th one (0: none).
type eventLog struct {
	lag  time.Duration
	gap  int
	next uint64
	log  []loggedEvent
}

func (l *eventLog) add(at time.Time, kind string, prefix uint64) {
	l.next++
	if l.gap > 0 && l.next%uint64(l.gap) == 0 {
		return
	}
	l.log = append(l.log, loggedEvent{at: at, event: CacheEvent{Seq: l.next, Type: kind, Prefix: fmt.Sprintf("%016x", prefix)}})
	if len(l.log) > maxEvents {
		l.log = l.log[1:]
	}
}

// since returns the published events after the sequence number, the sequence
// number for the next query, and whether events in between are missing.
func (l *eventLog) since(now time.Time, after uint64) (events []CacheEvent, next uint64, gap bool) {
	events, next = []CacheEvent{}, after
	for _, logged := range l.log {
		if logged.event.Seq <= after {
			continue
		}
		if now.Sub(logged.at) < l.lag {
			break
		}
		gap = gap || logged.event.Seq != next+1
		next = logged.event.Seq
		events = append(events, logged.event)
	}
	return events, next, gap
}
