package routing

import "sync/atomic"

const (
	// cacheSets and cacheWays bound the cache to 8,192 combinations of labels;
	// organisations do not count unless a route names a label of theirs.
	cacheSets = 2048
	cacheWays = 4
)

// cache is a bounded set-associative cache. Entries are immutable; readers take
// no lock. A race between writers loses at most an entry, which is then
// computed again.
type cache struct {
	slots [cacheSets * cacheWays]atomic.Pointer[entry]
}

func newCache() *cache { return &cache{} }

// find returns the entry for a view, or nil.
func (c *cache) find(hash uint64, v *view) *entry {
	first := hash % cacheSets * cacheWays
	for way := range uint64(cacheWays) {
		e := c.slots[first+way].Load()
		if e != nil && e.hash == hash && e.matches(v) {
			return e
		}
	}
	return nil
}

// add stores an entry in a free way, or replaces the one that the upper bits of
// the hash choose.
func (c *cache) add(hash uint64, e *entry) {
	e.hash = hash
	first := hash % cacheSets * cacheWays
	for way := range uint64(cacheWays) {
		if c.slots[first+way].CompareAndSwap(nil, e) {
			return
		}
	}
	c.slots[first+hash>>62].Store(e)
}
