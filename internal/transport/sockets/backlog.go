package sockets

import (
	"net"
	"syscall"
	"time"
)

const (
	// backlogPollInterval is the time between two looks at a listener's backlog.
	backlogPollInterval = time.Millisecond
	// maxBacklogTime is how long AwaitAccepted waits at most: enough to accept a full backlog, and short beside the time for a drain.
	maxBacklogTime = 200 * time.Millisecond
)

// AwaitAccepted waits until no connection is left in a listener's backlog, that is, until all that the system has established are
// accepted, at most for maxBacklogTime. A listener that is closed before that resets the rest, though their clients may have sent
// requests on them. It does not wait where the listener gives no access to its socket. Another goroutine has to accept meanwhile.
func AwaitAccepted(listener net.Listener) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	for end := time.Now().Add(maxBacklogTime); hasBacklog(socket) && time.Now().Before(end); {
		time.Sleep(backlogPollInterval)
	}
}

// hasBacklog reports, without waiting, whether a listening socket has connections that are not accepted yet.
func hasBacklog(socket syscall.Conn) (waiting bool) {
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	rawConn.Control(func(fd uintptr) { waiting = Readable(fd) })
	return waiting
}
