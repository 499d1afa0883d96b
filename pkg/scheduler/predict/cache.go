package predict

// cache is a bounded map with least-recently-used eviction. Entries are kept in
// one slice and linked by index, so it does not allocate once full.
type cache[K comparable] struct {
	index   map[K]int32
	entries []entry[K]
	limit   int
	// newest and oldest are -1 if the cache is empty.
	newest, oldest int32
}

type entry[K comparable] struct {
	key          K
	newer, older int32
	statistics
}

func newCache[K comparable](limit int) cache[K] {
	return cache[K]{index: map[K]int32{}, limit: limit, newest: -1, oldest: -1}
}

// peek returns the statistics of a key without marking it as used, or nil.
func (c *cache[K]) peek(key K) *statistics {
	if i, ok := c.index[key]; ok {
		return &c.entries[i].statistics
	}
	return nil
}

// getOrCreate returns the statistics of a key and marks it as the newest. An
// unknown key gets empty statistics.
func (c *cache[K]) getOrCreate(key K) *statistics {
	i, ok := c.index[key]
	switch {
	case ok:
		c.unlink(i)
	case len(c.entries) < c.limit:
		i = int32(len(c.entries))
		c.entries = append(c.entries, entry[K]{key: key})
	default:
		i = c.oldest
		c.unlink(i)
		delete(c.index, c.entries[i].key)
		c.entries[i] = entry[K]{key: key}
	}
	c.index[key] = i
	c.linkNewest(i)
	return &c.entries[i].statistics
}

func (c *cache[K]) unlink(i int32) {
	e := &c.entries[i]
	if e.newer >= 0 {
		c.entries[e.newer].older = e.older
	} else {
		c.newest = e.older
	}
	if e.older >= 0 {
		c.entries[e.older].newer = e.newer
	} else {
		c.oldest = e.newer
	}
}

func (c *cache[K]) linkNewest(i int32) {
	c.entries[i].newer, c.entries[i].older = -1, c.newest
	if c.newest >= 0 {
		c.entries[c.newest].newer = i
	} else {
		c.oldest = i
	}
	c.newest = i
}
