package parts

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// windowCheckDelay is the time from a write to the first check of the connection's receive window.
	windowCheckDelay = 10 * time.Millisecond
	// windowRecheckDelay is the least time that a node's machine gets, once its window was found shrunk, to acknowledge the bytes
	// that had been sent by then. It is longer than the 40 ms by which a machine may delay an acknowledgement, and than
	// minRetransmissionTimeout, after which the system sends a lost segment again. The sum of windowCheckDelay and it is shorter than
	// SendTimeout.
	windowRecheckDelay = 50 * time.Millisecond
	// neverFires is the duration with which WindowCheck.timer is made, so that it does not fire before it is stopped.
	neverFires = math.MaxInt64
)

// WindowCheck detects that a node's machine has shrunk the TCP receive window that it had advertised. Such a machine drops segments
// that were sent within the larger window, and the system counts them as sent. The system sends them again once the node reads, however
// late that is: the remaining time that a request states is wrong by then, or the part's next attempt is in flight at another node.
//
// It checks the window some time after each write. If the window is shrunk, a second check finds out whether the machine acknowledged
// the bytes that had been sent by the first one, as a working machine does; if it did not, the connection has to be closed.
type WindowCheck struct {
	// raw gives access to the connection's file descriptor.
	raw syscall.RawConn
	// scheduled says that a check is scheduled and has not begun.
	scheduled atomic.Bool
	// timer runs the scheduled check.
	timer *time.Timer
	// onShrunk is called, on the timer's goroutine, by a second check that finds bytes that were not acknowledged in time.
	onShrunk func()

	// mu is held during a check, and guards the fields below.
	mu sync.Mutex
	// readState stores in state the window state of the connection with that descriptor. It is made once, so that a check allocates
	// nothing.
	readState func(descriptor uintptr)
	// state is what readState stored last.
	state windowState
	// mustAcknowledge is how many bytes, counted from the connection's start, the node's machine must have acknowledged by the next
	// check; 0 if the last check did not find the window shrunk.
	mustAcknowledge uint64
}

// NewWindowCheck makes the WindowCheck of a connection. If the connection gives no access to its file descriptor, it returns nil, on which
// all methods do nothing. onShrunk is called, on a goroutine of its own, when bytes sent to a node's machine that has shrunk its window were
// not acknowledged in time; the connection then has to be closed, and the bytes discarded (DiscardUnsentOnClose). Stop must be called
// when the connection ends.
func NewWindowCheck(conn net.Conn, onShrunk func()) *WindowCheck {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil
	}
	check := &WindowCheck{raw: raw, onShrunk: onShrunk}
	check.readState = func(descriptor uintptr) { check.state = readWindowState(int(descriptor)) }
	check.timer = time.AfterFunc(neverFires, check.run)
	check.timer.Stop()
	return check
}

// Written must be called after each write. It schedules a check after windowCheckDelay, unless one is scheduled already.
func (c *WindowCheck) Written() {
	if c != nil && c.scheduled.CompareAndSwap(false, true) {
		c.timer.Reset(windowCheckDelay)
	}
}

// Stop cancels the scheduled check. A check that is in progress may schedule another one, which does nothing if the connection is closed.
func (c *WindowCheck) Stop() {
	if c != nil {
		c.timer.Stop()
	}
}

// run makes one check. If it finds the window shrunk, it schedules the next check for when a working machine must have acknowledged all
// bytes that were sent until now. It calls onShrunk if the previous check did so and the machine has not acknowledged them.
func (c *WindowCheck) run() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// This comes before the state is read: a write after the reading has to schedule another check.
	c.scheduled.Store(false)
	c.state = windowState{}
	c.raw.Control(c.readState)
	switch {
	case c.state.acknowledged < c.mustAcknowledge && c.state.unacknowledged > 0:
		c.onShrunk()
	case c.state.shrunk():
		c.mustAcknowledge = c.state.acknowledged + uint64(c.state.unacknowledged)
		c.scheduled.Store(true)
		c.timer.Reset(max(windowRecheckDelay, 2*c.state.roundTrip))
	default:
		c.mustAcknowledge = 0
	}
}

// windowState is what the system reports, at one moment, of the bytes that were sent on a connection and of the node's receive window.
type windowState struct {
	// unacknowledged is how many bytes were sent and not acknowledged.
	unacknowledged int
	// sendWindow is the receive window that the node's machine advertised last: for how many bytes, counted from the first
	// unacknowledged one, it has room.
	sendWindow int
	// acknowledged is how many bytes were acknowledged since the connection's start, which itself counts as one byte.
	acknowledged uint64
	// roundTrip is the connection's smoothed round-trip time.
	roundTrip time.Duration
}

// shrunk reports whether more bytes are unacknowledged than the window has room for. As no system sends bytes that lie outside the window,
// the window was shrunk after they were sent.
func (s windowState) shrunk() bool { return s.unacknowledged > s.sendWindow }

// readWindowState returns the window state of the connection of a socket. It is zero if all sent bytes are acknowledged, or if the
// system does not report the window. All fields come from one system call: between two calls an acknowledgement could come, which
// would look like a shrunk window.
func readWindowState(descriptor int) windowState {
	// The size of the send queue, unacknowledged bytes included, is cheaper to read than TCP_INFO, and 0 by the time of most checks.
	if queuedBytes, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ); err != nil || queuedBytes == 0 {
		return windowState{}
	}
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	// Systems that do not report the windows leave both at 0. A Snd_wnd of 0 alone says that the node's window is full.
	if err != nil || info.Unacked == 0 || info.Rcv_wnd == 0 {
		return windowState{}
	}
	return windowState{
		// The acknowledged bytes include one for the connection's start, which the sent bytes do not.
		unacknowledged: int(info.Bytes_sent - info.Bytes_retrans - (info.Bytes_acked - 1)),
		sendWindow:     int(info.Snd_wnd),
		acknowledged:   info.Bytes_acked,
		roundTrip:      time.Duration(info.Rtt) * time.Microsecond,
	}
}
