package scheduler

// table maps keys to pointers by open addressing with linear probing. It
// replaces a Go map because deletions shift entries back, so a table whose size
// is steady never allocates, and because its order of iteration is a function
// of its history alone.
type table[K comparable, V any] struct {
	hash  func(K) uint64
	slots []slot[K, V]
	count int
}

type slot[K comparable, V any] struct {
	key   K
	value *V
}

const minTableSlots = 64

func newTable[K comparable, V any](hash func(K) uint64) table[K, V] {
	return table[K, V]{hash: hash, slots: make([]slot[K, V], minTableSlots)}
}

// find returns the slot that holds key, or the empty slot where it belongs.
func (t *table[K, V]) find(key K) uint64 {
	mask := uint64(len(t.slots) - 1)
	i := t.hash(key) & mask
	for t.slots[i].value != nil && t.slots[i].key != key {
		i = (i + 1) & mask
	}
	return i
}

func (t *table[K, V]) get(key K) *V { return t.slots[t.find(key)].value }

func (t *table[K, V]) store(key K, value *V) {
	if 4*(t.count+1) > 3*len(t.slots) {
		t.grow()
	}
	i := t.find(key)
	if t.slots[i].value == nil {
		t.count++
	}
	t.slots[i] = slot[K, V]{key, value}
}

func (t *table[K, V]) grow() {
	old := t.slots
	t.slots = make([]slot[K, V], 2*len(old))
	for _, s := range old {
		if s.value != nil {
			t.slots[t.find(s.key)] = s
		}
	}
}

func (t *table[K, V]) remove(key K) {
	i := t.find(key)
	if t.slots[i].value == nil {
		return
	}
	t.count--
	mask := uint64(len(t.slots) - 1)
	// Moves back each following entry whose probe sequence passes the emptied slot.
	for j := (i + 1) & mask; t.slots[j].value != nil; j = (j + 1) & mask {
		home := t.hash(t.slots[j].key) & mask
		if (j-home)&mask >= (j-i)&mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot[K, V]{}
}

// goldenRatio is the increment of SplitMix64.
const goldenRatio = 0x9e3779b97f4a7c15

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashID(id GlobalID) uint64 { return mix(id.Entry*goldenRatio + id.Sequence) }

func hashUint32(v uint32) uint64 { return mix(uint64(v) + 1) }

// freeList keeps objects for reuse. New objects come in blocks.
type freeList[T any] struct {
	free []*T
}

const freeListBlock = 64

func (f *freeList[T]) get() *T {
	if len(f.free) == 0 {
		block := make([]T, freeListBlock)
		for i := range block {
			f.free = append(f.free, &block[i])
		}
	}
	last := len(f.free) - 1
	object := f.free[last]
	f.free = f.free[:last]
	return object
}

func (f *freeList[T]) release(object *T) { f.free = append(f.free, object) }
