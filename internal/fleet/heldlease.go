package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
)

// The reasons why a lease could not be acquired, or its note not be written.
var (
	// ErrTaken is returned if others held the lease for as long as the caller was willing to wait.
	ErrTaken = errors.New("fleet: the lease is held by others")
	// ErrAlreadyRequested is returned by Acquire if this process holds the lease already, if another call of Acquire waits for
	// it, or if the request is invalid. It is also returned if a holder of the lease writes its note, or the definition of a
	// budget under it, while an earlier such write is in progress.
	ErrAlreadyRequested = errors.New("fleet: this process holds or asks for the lease already")
	// ErrClosed is returned by Acquire and by the functions that write under a lease if this process's Node is closing
	// (Node.Close): no lease is acquired and nothing is written any more.
	ErrClosed = errors.New("fleet: closing")
)

// HeldLease is a lease that this process holds or has held.
type HeldLease struct {
	// Name is the lease's name, under which all brokers of the fleet ask for it.
	Name string
	// Token is the lease's fencing token. It goes with every operation under the lease, so that targets can refuse
	// operations with a lower one.
	Token uint64
	// Place is the index, from 0, of the place that is held, for a lease that several brokers may hold at a time.
	Place int
	// client is this process's session client, whose lease session holds the lease.
	client *sessionClient
	// lost is closed when the lease is no longer held, because it was lost or released.
	lost chan struct{}
}

// ValidUntil returns the time, in seconds of this process's clock, until which the lease is valid unless it is renewed; 0
// once the lease is lost. It reads the session's validity before it checks for the loss of this lease. The session
// announces a loss before it renews its other leases, so that a later validity is never returned for a lost lease,
// however long the caller is suspended in between.
func (h *HeldLease) ValidUntil() float64 {
	until := math.Float64frombits(h.client.validUntil.Load())
	select {
	case <-h.lost:
		return 0
	default:
		return until
	}
}

// Valid reports whether the holder may operate under the lease at this moment. It reads the clock after the end of the
// validity, so that a suspension in between cannot make an expired lease look valid. An operation may still reach its
// target after the lease has ended, which is why it carries Token.
func (h *HeldLease) Valid() bool {
	until := h.ValidUntil()
	return h.client.node.environment.Now() < until
}

// Lost returns a channel that is closed when the lease is lost or released.
func (h *HeldLease) Lost() <-chan struct{} { return h.lost }

// Release ends the lease. All operations under it must have ended.
func (h *HeldLease) Release() {
	h.client.do(func() {
		if h.client.held[h.Name] == h {
			delete(h.client.held, h.Name)
			close(h.lost)
			h.client.session.Release(h.Name)
		}
	})
}

// WriteNote replaces the lease's note: bytes that the council stores with the lease, and that later holders can read. It
// returns nil once the council has committed the note. If the lease is lost (ErrLost) or ctx ends before that, the note
// may or may not have been written. Only one write at a time is allowed; a second one gets ErrAlreadyRequested. A note that
// is too large (lease.MaxNoteBytes) is an error too.
func (h *HeldLease) WriteNote(ctx context.Context, note []byte) error {
	return h.writeUnderLease(ctx, func() error {
		if !h.client.session.WriteNote(h.Name, note) {
			return fmt.Errorf("fleet: lease %s: a note of %d bytes cannot be written", h.Name, len(note))
		}
		return nil
	})
}

// writeUnderLease runs request on the client's goroutine, which makes the session request a write under the lease, and
// waits for the write's result.
func (h *HeldLease) writeUnderLease(ctx context.Context, request func() error) error {
	result := make(chan error, 1)
	if !h.client.do(func() {
		switch {
		case h.client.held[h.Name] != h:
			result <- ErrLost
		case h.client.pendingWrites[h.Name] != nil:
			result <- ErrAlreadyRequested
		default:
			if err := request(); err != nil {
				result <- err
				return
			}
			h.client.pendingWrites[h.Name] = result
		}
	}) {
		return ErrClosed
	}
	select {
	case err := <-result:
		return err
	case <-h.lost:
		return ErrLost
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
