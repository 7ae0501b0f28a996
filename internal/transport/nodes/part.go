// Package nodes speaks with nodes in frames: it keeps connections to them, puts calls on these, and
// tells the owner of each part how it ended. Which node gets what is decided elsewhere.
package nodes

import (
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// held is a part that a connection has: it owns it until it has ended.
type held struct {
	*parts.Part
	conn    *conn
	call    *call
	written bool            // the last byte of its frame is with the system
	hand    bool            // in a write that goes on
	left    balance.Outcome // as what it was given up
}

// call is the parts that share a frame, and one place on a connection.
type call struct {
	parts []held
	out   int
	asked time.Time
}

// stale is whether what was decided on when the call was asked may no longer hold: guards against a handshake that comes
// late. A client's time may be up by then, the window in which repeats of a part are dropped may have passed, and
// what was within the budget of further sub-requests then would leave together with what is now.
func (p *held) stale(now time.Time, bound time.Duration) bool {
	return !now.Before(p.Until) || bound > 0 && p.Try > 1 && now.Sub(p.call.asked) > bound
}

// broken is how a part ends with its connection: it never ran only if its frame's last byte was
// not written.
func (p *held) broken() protocol.Ended {
	if p.written {
		return protocol.Ended{ID: p.ID, How: balance.Dropped}
	}
	return protocol.Ended{ID: p.ID, How: balance.Unreached}
}

func (p *held) quit() protocol.Ended { return protocol.Ended{ID: p.ID, How: p.left} }
