package routing

import "sync/atomic"

const (
	// cacheSets and cacheWays bound the cache to 8,192 combinations of labels.
	// Different organisations share an entry unless a route names a label whose
	// values differ between them.
	cacheSets = 2048
	cacheWays = 4
)

// cache is a bounded set-associative cache. Entries are immutable and readers take
// no lock. A race between writers loses at most one entry, which is then computed
// again.
type cache struct {
	slots [cacheSets * cacheWays]atomic.Pointer[cacheEntry]
}

func newCache() *cache { return &cache{} }

// find returns the entry for a view, or nil if it is not cached.
func (c *cache) find(hash uint64, v *view) *cacheEntry {
	first := hash % cacheSets * cacheWays
	for way := range uint64(cacheWays) {
		e := c.slots[first+way].Load()
		if e != nil && e.hash == hash && e.matches(v) {
			return e
		}
	}
	return nil
}

// add stores an entry in a free way of its set, or replaces the way that the upper
// bits of the hash select.
func (c *cache) add(hash uint64, e *cacheEntry) {
	e.hash = hash
	first := hash % cacheSets * cacheWays
	for way := range uint64(cacheWays) {
		if c.slots[first+way].CompareAndSwap(nil, e) {
			return
		}
	}
	c.slots[first+hash>>62].Store(e)
}
