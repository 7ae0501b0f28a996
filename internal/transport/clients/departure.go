package clients

import (
	"context"
	"io"
	"syscall"
	"time"

	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/sockets"
)

// waitForClientClose waits until the client closes its connection while its request is being served, and returns the error by which
// it did, such as io.EOF. net/http reads a single byte for that, and reads no further once it has one: it would not detect a close
// that follows bytes of a next request. So these are moved to pipelined, up to maxPipelinedBytes; what exceeds that stays in the
// socket, and the system is asked whether the client has closed. net/http interrupts the wait once the request has its response.
func (c *conn) waitForClientClose() error {
	var err error
	for err == nil {
		if waitErr := c.rawConn.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			err = c.readAhead(fd)
			return err != syscall.EAGAIN
		}); waitErr != nil {
			return waitErr
		}
	}
	return err
}

// readAhead moves unread bytes from the socket with descriptor fd to pipelined, without waiting, while that holds fewer than
// maxPipelinedBytes. It returns nil where there may be more bytes to move; EAGAIN where none may be moved and the client has not
// closed its sending side; and otherwise the error with which that side ended, such as io.EOF. c.mu must be held.
func (c *conn) readAhead(fd uintptr) error {
	if c.clientEnd != nil {
		return c.clientEnd
	}
	var buf [1024]byte
	room := min(maxPipelinedBytes-len(c.pipelined), len(buf))
	if room <= 0 {
		if !sockets.ClosedBehindUnread(fd) {
			return syscall.EAGAIN
		}
		c.clientEnd = io.EOF
		return c.clientEnd
	}
	n, err := sockets.ReadAvailable(fd, buf[:room])
	if err == syscall.EAGAIN {
		return err
	}
	c.clientEnd = err
	c.pipelined = append(c.pipelined, buf[:n]...)
	return err
}

// departed reports, without waiting, whether the client has closed its connection, also where the close is still unread in
// the socket, as it may be after a pause of this process. For a request that has its response it reports true and
// reads nothing: the connection may be in use for the next request, whose bytes must not be taken. It recognizes this by ctx, the
// request's context, which has ended before the next request begins.
func (c *conn) departed(ctx context.Context) bool {
	if c.rawConn == nil {
		return false
	}
	for {
		var err error
		if c.rawConn.Control(func(fd uintptr) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if err = ctx.Err(); err == nil {
				err = c.readAhead(fd)
			}
		}) != nil {
			return true
		}
		if err != nil {
			return err != syscall.EAGAIN
		}
	}
}

// Departed reports, without waiting, whether the client of a request whose body was read completely has closed its connection,
// though the request's context may not have ended yet. Once the request's handler has returned it reports true. ctx is the
// context of the request, or one made from it; any goroutine may call.
func Departed(ctx context.Context) bool {
	c, ok := ctx.Value(connContextKey{}).(*conn)
	return ok && c.departed(ctx)
}

// ArrivalTime returns when the request of ctx, which has just been read completely, arrived at this machine. The client's deadline
// counts from when it sent the request, and the bytes may have been unread for long where this process was paused or overloaded.
// The result is the time at which the system received the newest bytes of the connection, which belong to this request or to later
// ones, so that it is never too early. It is the time now if the system does not report when it received them, or if that lies at
// most parts.ClientSeenValidity before now.
func ArrivalTime(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connContextKey{}).(*conn)
	if !ok || c.rawConn == nil {
		return now
	}
	arrivedAt := now
	c.rawConn.Control(func(fd uintptr) { arrivedAt = sockets.NewestArrival(fd, now, parts.ClientSeenValidity) })
	return arrivedAt
}
