package flightfrontend

import (
	"sync"

	"golang.org/x/net/http2"

	"brackenfront/internal/transport/http2frames"
	"brackenfront/internal/transport/parts"
)

// What a call is reckoned to take of memory, from its headers until it ends.
const (
	// memoryPerCall is the memory, in bytes, for a call without its message: its goroutine and its headers.
	memoryPerCall = 16 << 10
	// memoryPerDataFrame is the memory, in bytes, for a data frame besides its bytes: the gRPC library has a buffer for each.
	memoryPerDataFrame = 512
	// memoryPerByte is the memory, in bytes, for each byte of a data frame, which is copied once.
	memoryPerByte = 2
)

const (
	// freeCallMemory is how many bytes of memory the calls of each connection may take without a reservation: enough for several
	// ordinary calls, so that these are served whatever other clients hold.
	freeCallMemory = 64 << 10
	// maxRejectedHeads is how many more heads of streams the gRPC library may reject on one connection, such as those with too many
	// headers, than calls begin on it. Each takes processor time, and no answer of the frontend slows their client down.
	maxRejectedHeads = 8
)

// callMemory keeps account of the memory of the calls on one connection, and of the heads that the gRPC library rejects.
type callMemory struct {
	// budget is shared by the calls of all connections.
	budget *parts.MemoryBudget

	// mu guards the fields below.
	mu sync.Mutex
	// calls holds, by the number of its stream, the memory in bytes that each open call is reckoned to take.
	calls map[uint32]int
	// used is the sum of calls.
	used int
	// reserved is how many bytes of the budget are reserved: those of used beyond freeCallMemory.
	reserved int
	// headBytes is how many bytes the header block that is being delivered has so far, by the lengths of its frames.
	headBytes int
	// pendingHeads is how many heads were delivered to the library that have not become calls, less one for each call that has: a call
	// makes up for a rejected head. A call begins before the next head is delivered.
	pendingHeads int
}

// newCallMemory returns the account of a connection that has no calls yet.
func newCallMemory(budget *parts.MemoryBudget) *callMemory {
	return &callMemory{budget: budget, calls: map[uint32]int{}}
}

// open begins the account of the call with that stream, and reports whether there is memory for it.
func (m *callMemory) open(stream uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingHeads = max(m.pendingHeads-2, 0)
	m.calls[stream] = 0
	if m.addLocked(stream, memoryPerCall) {
		return true
	}
	delete(m.calls, stream)
	return false
}

// end ends the account of a call.
func (m *callMemory) end(stream uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= m.calls[stream]
	delete(m.calls, stream)
	excess := max(m.used-freeCallMemory, 0)
	m.budget.Release(m.reserved - excess)
	m.reserved = excess
}

// deliver accounts for a piece of a frame that is delivered to the gRPC library, and reports whether the connection may go on: it may
// not once there is no memory for the data of its calls, a head has more than maxHeaderBytes bytes, or the library has rejected more
// than maxRejectedHeads heads that no call made up for.
func (m *callMemory) deliver(frame http2.FrameHeader, piece http2frames.Piece) bool {
	switch frame.Type {
	case http2.FrameData:
		m.mu.Lock()
		defer m.mu.Unlock()
		bytes := len(piece.Payload) * memoryPerByte
		if piece.BeginsFrame {
			bytes += memoryPerDataFrame
		}
		return m.addLocked(frame.StreamID, bytes)
	case http2.FrameHeaders, http2.FrameContinuation:
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.deliverHeadLocked(frame, piece)
	}
	return true
}

// deliverHeadLocked is deliver for a piece of a header block. m.mu must be held.
func (m *callMemory) deliverHeadLocked(frame http2.FrameHeader, piece http2frames.Piece) bool {
	if piece.BeginsFrame {
		if frame.Type == http2.FrameHeaders {
			m.headBytes = 0
		}
		m.headBytes += int(frame.Length)
	}
	if m.headBytes > maxHeaderBytes {
		return false
	}
	// The flag is the same for both types of frames.
	if piece.EndsFrame && frame.Flags.Has(http2.FlagHeadersEndHeaders) {
		m.pendingHeads++
	}
	return m.pendingHeads <= maxRejectedHeads+1
}

// addLocked adds bytes to the account of a call, and reports whether there is memory for them. It ignores calls that are not open, whose
// data the library discards. m.mu must be held.
func (m *callMemory) addLocked(stream uint32, bytes int) bool {
	held, open := m.calls[stream]
	if !open {
		return true
	}
	missing := max(m.used+bytes-freeCallMemory, 0) - m.reserved
	if missing > 0 {
		if !m.budget.Reserve(missing) {
			return false
		}
		m.reserved += missing
	}
	m.used += bytes
	m.calls[stream] = held + bytes
	return true
}
