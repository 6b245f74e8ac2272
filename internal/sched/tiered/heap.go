package tiered

// node is an entry of an indexHeap. It stores its keys, so that comparisons
// don't access the value, and the heap keeps its index in *pos.
type node[T any] struct {
	key int64
	tie uint64
	pos *int
	val T
}

// indexHeap is a binary min-heap that tracks the index of each entry, so that
// entries can be removed and their keys changed. Unlike container/heap it
// doesn't box values, which would allocate.
type indexHeap[T any] []node[T]

// absent is the index of a value that isn't in a heap.
const absent = -1

func (h indexHeap[T]) less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].tie < h[j].tie
}

func (h indexHeap[T]) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].pos = i
	*h[j].pos = j
}

// add inserts an entry.
func (h *indexHeap[T]) add(n node[T]) {
	last := len(*h)
	*h = append(*h, n)
	*n.pos = last
	h.up(last)
}

// remove removes the entry at index i.
func (h *indexHeap[T]) remove(i int) {
	old := *h
	last := len(old) - 1
	old.swap(i, last)
	*old[last].pos = absent
	old[last] = node[T]{}
	*h = old[:last]
	if i < last {
		h.fix(i)
	}
}

// setKey changes the key of the entry at index i.
func (h indexHeap[T]) setKey(i int, key int64) {
	h[i].key = key
	h.fix(i)
}

func (h indexHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h indexHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the entry at index i down and reports whether it moved.
func (h indexHeap[T]) down(i int) bool {
	from := i
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > from
}
