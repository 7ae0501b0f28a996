package fleet

import "sync"

// boundedQueue is a first-in-first-out queue of at most maxQueuedFrames items for one connection. It allocates memory
// only for the items that it holds. Any goroutine may use it.
type boundedQueue[T any] struct {
	// mu guards items.
	mu sync.Mutex
	// items are the queued items, in the order in which they were pushed.
	items []T
}

// push appends an item, and returns false if the queue is full.
func (q *boundedQueue[T]) push(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxQueuedFrames {
		return false
	}
	q.items = append(q.items, item)
	return true
}

// pop removes and returns the first item; ok is false if the queue is empty.
func (q *boundedQueue[T]) pop() (item T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return item, false
	}
	// The array's element is cleared so that the array does not keep the item from being freed.
	var zero T
	item, q.items[0] = q.items[0], zero
	if q.items = q.items[1:]; len(q.items) == 0 {
		// Frees the array, which may have become large when many items were queued.
		q.items = nil
	}
	return item, true
}
