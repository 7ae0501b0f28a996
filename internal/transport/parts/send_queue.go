package parts

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrSendTimeout is the error with which a connection ends because written bytes did not leave this machine in time, or lie outside
// the node's receive window (SendQueue.WaitEmpty): the node's machine has no room for them.
var ErrSendTimeout = errors.New("written bytes were not sent in time: the node's machine has no room for them")

const (
	// SendTimeout is how long a request may take to leave this machine. It counts from when the request is encoded, because the
	// request states how much time its client has left at that moment.
	SendTimeout = 80 * time.Millisecond
	// MinSendTimeout is the time that every request gets to leave this machine, so that no connection is closed only because
	// its goroutine was scheduled late.
	MinSendTimeout = 4 * time.Millisecond
	// sendQueuePollInterval is the time between two checks for unsent bytes.
	sendQueuePollInterval = 2 * time.Millisecond
)

// SendDeadline returns the time by which an attempt whose request is encoded at the time now must have left this machine: after
// SendTimeout, as the request states the time that its client has left at now. A second or later attempt of a part must also
// leave within maxQueueTime of DecidedAt, but gets at least MinSendTimeout; a maxQueueTime of 0 sets no such bound.
func (a *Attempt) SendDeadline(now time.Time, maxQueueTime time.Duration) time.Time {
	deadline := now.Add(SendTimeout)
	if maxQueueTime == 0 || a.Number <= FirstAttempt {
		return deadline
	}
	if queueDeadline := a.DecidedAt.Add(maxQueueTime); queueDeadline.Before(deadline) {
		deadline = queueDeadline
	}
	if earliest := now.Add(MinSendTimeout); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// WriteBefore writes buf to a connection with a deadline; if that has passed, nothing is written and the error is
// os.ErrDeadlineExceeded. It reads the clock after it has set the connection's deadline: where the process was stopped in between,
// the runtime has not run that deadline's timer yet, and Write would not notice that it has passed. A process that is stopped
// between this last reading of the clock and the system call cannot notice that.
func WriteBefore(deadline time.Time, conn net.Conn, buf []byte) (written int, err error) {
	conn.SetWriteDeadline(deadline)
	if !time.Now().Before(deadline) {
		// A deadline that has passed when it is set has its effect at once.
		conn.SetWriteDeadline(deadline)
	}
	return conn.Write(buf)
}

// SendQueue tells whether the bytes that were written to a connection have left this machine, or are still unsent in the operating
// system's send buffer. It must be used by one goroutine only.
type SendQueue struct {
	// raw gives access to the connection's file descriptor, from which the number of unsent bytes and the node's receive window are
	// read; nil if the connection gives no access.
	raw syscall.RawConn
	// readUnsent stores the number of unsent bytes of a descriptor in unsentBytes, or the error in err.
	readUnsent func(descriptor uintptr)
	// unsentBytes is the number that readUnsent stored last.
	unsentBytes int
	// err is the error of the last call of readUnsent, or nil.
	err error
	// readWindow stores in window the window state of the connection with that descriptor.
	readWindow func(descriptor uintptr)
	// window is what readWindow stored last.
	window windowState
}

// NewSendQueue makes the SendQueue of a connection. The closures that read the queue are made here once, so that reading it
// allocates nothing.
func NewSendQueue(conn net.Conn) *SendQueue {
	queue := &SendQueue{}
	queue.readUnsent = func(descriptor uintptr) {
		queue.unsentBytes, queue.err = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQNSD)
	}
	queue.readWindow = func(descriptor uintptr) { queue.window = readWindowState(int(descriptor)) }
	if withDescriptor, ok := conn.(syscall.Conn); ok {
		if raw, err := withDescriptor.SyscallConn(); err == nil {
			queue.raw = raw
		}
	}
	return queue
}

// unsent returns how many bytes the system has accepted from writes and not sent yet; 0 where the system does not report it.
func (q *SendQueue) unsent() int {
	if q.raw == nil {
		return 0
	}
	if err := q.raw.Control(q.readUnsent); err != nil || q.err != nil {
		return 0
	}
	return q.unsentBytes
}

// WaitEmpty waits until all written bytes have left this machine, and reports whether they have by the deadline. What a node has
// no room for stays in the send queue of this machine: without the wait the node could get the rest of a request much later,
// when the remaining time that it states is no longer true or another attempt is in flight elsewhere. Where WaitEmpty returns
// false, closing the connection drops the bytes (DiscardUnsentOnClose).
//
// With inWindow, which is for writes that include a cancellation, it waits, in addition, until all unacknowledged bytes lie within the
// node's receive window. A machine that has shrunk its window (see WindowCheck) drops bytes outside of it: a cancellation among them
// would reach the node late or never.
func (q *SendQueue) WaitEmpty(deadline time.Time, inWindow bool) bool {
	for ; q.unsent() > 0 || inWindow && q.windowShrunk(); time.Sleep(sendQueuePollInterval) {
		if !time.Now().Before(deadline) {
			return false
		}
	}
	return true
}

// windowShrunk reports whether more bytes are unacknowledged than the node's receive window has room for; false where the system does
// not report that.
func (q *SendQueue) windowShrunk() bool {
	q.window = windowState{}
	if q.raw == nil || q.raw.Control(q.readWindow) != nil {
		return false
	}
	return q.window.shrunk()
}
