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
	// prefixBytes is the length of the prefix that a cache event names.
	prefixBytes = 1024
)

// PrefixDigest returns the digest by which cache events name a prompt's prefix.
func PrefixDigest(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// prefixCache holds whole blocks of prompts, least recently used first out.
// A block is identified by the digest of the prompt up to its end.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	report   func(at time.Time, kind string, prefix uint64)
}

type cacheBlock struct{ digest, prefix uint64 }

func newPrefixCache(capacity int, report func(time.Time, string, uint64)) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}, report: report}
}

// match returns the number of leading blocks of the prompt that are cached.
func (c *prefixCache) match(prompt string) int {
	n := 0
	c.each(prompt, func(digest uint64) bool {
		element, ok := c.blocks[digest]
		if ok {
			c.order.MoveToBack(element)
			n++
		}
		return ok
	})
	return n
}

// insert caches all whole blocks of the prompt and evicts the oldest ones.
func (c *prefixCache) insert(now time.Time, prompt string) {
	prefix := PrefixDigest(prompt)
	added := false
	c.each(prompt, func(digest uint64) bool {
		if element, ok := c.blocks[digest]; ok {
			c.order.MoveToBack(element)
			return true
		}
		c.blocks[digest] = c.order.PushBack(cacheBlock{digest: digest, prefix: prefix})
		added = true
		return true
	})
	if added {
		c.report(now, "cached", prefix)
	}
	evicted := map[uint64]bool{}
	for c.order.Len() > c.capacity {
		block := c.order.Remove(c.order.Front()).(cacheBlock)
		delete(c.blocks, block.digest)
		if !evicted[block.prefix] {
			evicted[block.prefix] = true
			c.report(now, "evicted", block.prefix)
		}
	}
}

// each calls f with the digest of each whole block until f returns false.
func (c *prefixCache) each(prompt string, f func(digest uint64) bool) {
	hash := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		hash.WriteString(prompt[end-blockBytes : end])
		if !f(hash.Sum64()) {
			return
		}
	}
}

// maxEvents bounds the cache events that can still be read.
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

// eventLog publishes cache events late and with gaps.
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

// since returns the published events after the sequence number, the number to
// ask with next, and whether events are missing between.
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
