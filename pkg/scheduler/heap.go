package scheduler

// positioned is an element that remembers its position in a minHeap, so that
// it can be removed or moved without a search. A position below 0 means that
// the element is not in the heap.
type positioned interface{ setPosition(int) }

// minHeap is a binary heap ordered by key, then by tie.
type minHeap[T positioned] struct {
	entries []heapEntry[T]
}

type heapEntry[T positioned] struct {
	key  int64
	tie  uint64
	item T
}

func (e *heapEntry[T]) less(other *heapEntry[T]) bool {
	return e.key < other.key || e.key == other.key && e.tie < other.tie
}

func (h *minHeap[T]) len() int { return len(h.entries) }

func (h *minHeap[T]) push(key int64, tie uint64, item T) {
	h.entries = append(h.entries, heapEntry[T]{key, tie, item})
	h.siftUp(len(h.entries) - 1)
}

// fix changes the key of the element at position i.
func (h *minHeap[T]) fix(i int, key int64) {
	h.entries[i].key = key
	h.siftDown(h.siftUp(i))
}

func (h *minHeap[T]) remove(i int) {
	last := len(h.entries) - 1
	h.entries[i].item.setPosition(-1)
	moved := h.entries[last]
	h.entries[last] = heapEntry[T]{}
	h.entries = h.entries[:last]
	if i < last {
		h.entries[i] = moved
		h.siftDown(h.siftUp(i))
	}
}

func (h *minHeap[T]) siftUp(i int) int {
	entry := h.entries[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !entry.less(&h.entries[parent]) {
			break
		}
		h.entries[i] = h.entries[parent]
		h.entries[i].item.setPosition(i)
		i = parent
	}
	h.entries[i] = entry
	entry.item.setPosition(i)
	return i
}

func (h *minHeap[T]) siftDown(i int) {
	entry := h.entries[i]
	for {
		child := 2*i + 1
		if child >= len(h.entries) {
			break
		}
		if child+1 < len(h.entries) && h.entries[child+1].less(&h.entries[child]) {
			child++
		}
		if !h.entries[child].less(&entry) {
			break
		}
		h.entries[i] = h.entries[child]
		h.entries[i].item.setPosition(i)
		i = child
	}
	h.entries[i] = entry
	entry.item.setPosition(i)
}
