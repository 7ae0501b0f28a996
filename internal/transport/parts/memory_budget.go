package parts

import "sync/atomic"

// MemoryBudget bounds how much memory many users may reserve together, such as all answers that are being received from nodes, or
// all requests that are being received from clients. Whoever is about to hold bytes reserves them first, and releases them when
// they are freed. The zero MemoryBudget grants nothing. It may be used from any goroutine.
type MemoryBudget struct {
	// MaxBytes is how many bytes may be reserved at once.
	MaxBytes int64
	// reserved is how many bytes are reserved now.
	reserved atomic.Int64
}

// Reserve reserves n more bytes, and reports whether they fit within MaxBytes; where they don't, nothing is reserved.
func (b *MemoryBudget) Reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.MaxBytes {
		b.reserved.Add(-int64(n))
		return false
	}
	return true
}

// Release gives n of the reserved bytes back, which Reserve may then grant again.
func (b *MemoryBudget) Release(n int) { b.reserved.Add(-int64(n)) }

// Reserved returns how many bytes are reserved now, by all users together.
func (b *MemoryBudget) Reserved() int64 { return b.reserved.Load() }
