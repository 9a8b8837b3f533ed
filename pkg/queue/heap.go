package queue

import "container/heap"

// Heap is a binary heap. The node that Push returned identifies an element
// for Fix and Remove. Operations take O(log n).
type Heap[T any] struct{ inner nodes[T] }

// Node is an element of a Heap.
type Node[T any] struct {
	value T
	// index is the position in the heap, or -1 after the removal.
	index int
}

// Value returns the element.
func (n *Node[T]) Value() T { return n.value }

// NewHeap returns an empty heap whose first element is the least by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{nodes[T]{less: less}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.inner.list) }

// Push adds an element.
func (h *Heap[T]) Push(v T) *Node[T] {
	n := &Node[T]{value: v}
	heap.Push(&h.inner, n)
	return n
}

// Peek returns the first element; ok is false when the heap is empty.
func (h *Heap[T]) Peek() (v T, ok bool) {
	if h.Len() == 0 {
		return v, false
	}
	return h.inner.list[0].value, true
}

// Pop removes the first element; ok is false when the heap is empty.
func (h *Heap[T]) Pop() (v T, ok bool) {
	if h.Len() == 0 {
		return v, false
	}
	return heap.Pop(&h.inner).(*Node[T]).value, true
}

// Fix restores the order after the element of n changed. A node that was
// removed before is ignored.
func (h *Heap[T]) Fix(n *Node[T]) {
	if n.index >= 0 {
		heap.Fix(&h.inner, n.index)
	}
}

// Remove removes the element of n. A node that was removed before is ignored.
func (h *Heap[T]) Remove(n *Node[T]) {
	if n.index >= 0 {
		heap.Remove(&h.inner, n.index)
	}
}

// nodes implements heap.Interface.
type nodes[T any] struct {
	list []*Node[T]
	less func(a, b T) bool
}

func (s *nodes[T]) Len() int           { return len(s.list) }
func (s *nodes[T]) Less(i, j int) bool { return s.less(s.list[i].value, s.list[j].value) }

func (s *nodes[T]) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	s.list[i].index, s.list[j].index = i, j
}

func (s *nodes[T]) Push(x any) {
	n := x.(*Node[T])
	n.index = len(s.list)
	s.list = append(s.list, n)
}

func (s *nodes[T]) Pop() any {
	last := len(s.list) - 1
	n := s.list[last]
	s.list[last] = nil
	s.list = s.list[:last]
	n.index = -1
	return n
}
