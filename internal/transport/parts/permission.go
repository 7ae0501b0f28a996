package parts

import (
	"sync"
	"sync/atomic"
)

// SendPermission says whether attempts of one search may still be written to nodes; all attempts of the search share it. The
// router withdraws it when the search's client has left or its final answer is decided, and then waits for the writes in progress
// that include an attempt of the search: such an attempt cannot be recalled by cancelling it before the write has returned.
//
// A backend calls Acquire before it includes an attempt in a write, and Release once that write can no longer complete a request
// of the attempt that was not complete before. Neither takes a lock before the permission is withdrawn.
type SendPermission struct {
	// CheckDisconnected asks the system, without waiting, whether the client has closed its connection, even if the frontend has
	// not noticed the close yet. It is nil where the frontend cannot check, and is set before anything is sent. It may be called
	// only while the search has no final answer, as the connection may serve the client's next request afterwards; a backend
	// therefore calls it only between Acquire and Release, during which no final answer is given.
	CheckDisconnected func() bool

	// withdrawn is set by Withdraw and never reset; from then on, Acquire returns false.
	withdrawn atomic.Bool
	// activeWrites is how many calls of Acquire have no Release yet; Acquire counts itself also where it then returns false, until
	// it has called Release.
	activeWrites atomic.Int32

	// mu guards allReleased.
	mu sync.Mutex
	// allReleased is the channel that Withdraw returned, which the last Release closes once activeWrites is 0; nil where there is
	// no such channel, or it is closed.
	allReleased chan struct{}
}

// Acquire is called before an attempt of the search is included in a write to a node. It returns true if the attempt may be
// written, and Release has to be called afterwards; it returns false if Withdraw has been called, and the attempt must not be sent.
func (p *SendPermission) Acquire() bool {
	// Counts first and checks second; Withdraw does it in the opposite order, so that at least one of the two notices the
	// other.
	p.activeWrites.Add(1)
	if p.withdrawn.Load() {
		p.Release()
		return false
	}
	return true
}

// Release is called once for each Acquire that returned true, when the write that it was for has returned or is not made.
func (p *SendPermission) Release() {
	if p.activeWrites.Add(-1) == 0 && p.withdrawn.Load() {
		p.mu.Lock()
		if p.allReleased != nil && p.activeWrites.Load() == 0 {
			close(p.allReleased)
			p.allReleased = nil
		}
		p.mu.Unlock()
	}
}

// ClientDisconnected reports whether the client has closed its connection, as CheckDisconnected finds; false where that is nil. It
// does not wait, costs a system call, and may be called only while the search has no final answer.
func (p *SendPermission) ClientDisconnected() bool {
	return p.CheckDisconnected != nil && p.CheckDisconnected()
}

// Withdrawn reports whether Withdraw has been called; from then on no attempt of the search may be written to a node any more.
func (p *SendPermission) Withdrawn() bool { return p.withdrawn.Load() }

// HeldByWrite reports whether any attempt of the search is included in a write in progress, that is, whether an Acquire that
// returned true has no Release yet. Once all attempts in flight have been cancelled, the result does not change from false to
// true.
func (p *SendPermission) HeldByWrite() bool { return p.activeWrites.Load() > 0 }

// Withdraw makes every later Acquire return false, so that no further write to a node includes an attempt of the search. The
// returned channel is closed once every Acquire that returned true has its Release; it is nil if that is so already.
func (p *SendPermission) Withdraw() <-chan struct{} {
	p.withdrawn.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activeWrites.Load() == 0 {
		return nil
	}
	if p.allReleased == nil {
		p.allReleased = make(chan struct{})
	}
	return p.allReleased
}
