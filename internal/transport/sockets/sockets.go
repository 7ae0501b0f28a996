// Package sockets asks the operating system about the clients of this program's TCP connections, without waiting: what they have
// sent that no goroutine has read yet, and whether they have closed their sides.
package sockets

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ReadAvailable reads bytes that the socket with descriptor fd holds unread into b, which must not be empty, and returns how many.
// It does not wait: the error is EAGAIN if there are none, and io.EOF if the peer has closed its sending side and all of its
// bytes are read. Other errors are those of the connection.
func ReadAvailable(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), b)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// Readable reports, without waiting, whether the socket with descriptor fd has bytes or an end of stream to read or, if it listens, a
// connection to accept.
func Readable(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&unix.POLLNVAL == 0
}

// HasUnread reports, without waiting, whether the socket of conn holds bytes or an end of stream to read; false if conn has none.
func HasUnread(conn net.Conn) (unread bool) {
	control(conn, func(fd uintptr) { unread = Readable(fd) })
	return unread
}

// ReadUnread reads bytes that the socket of conn holds into b, which must not be empty, without waiting and whatever its read deadline,
// and returns how many.
func ReadUnread(conn net.Conn, b []byte) (n int) {
	control(conn, func(fd uintptr) { n, _ = ReadAvailable(fd, b) })
	return n
}

// control calls f with the descriptor of the socket of conn, or does nothing if that has none or is closed.
func control(conn net.Conn, f func(fd uintptr)) {
	if socket, ok := conn.(syscall.Conn); ok {
		if rawConn, err := socket.SyscallConn(); err == nil {
			rawConn.Control(f)
		}
	}
}

// ClosedBehindUnread reports whether the peer of the socket with descriptor fd has closed its sending side, also where unread bytes
// precede the close; it reads none of them. A close is not detected while more unread bytes precede it than the system buffers.
func ClosedBehindUnread(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&unix.POLLNVAL == 0
}

// Peek copies bytes that the socket with descriptor fd holds unread to b, and returns how many. It does not wait, and leaves the
// bytes in the socket; it returns 0 if there are none or the connection has failed.
func Peek(fd uintptr, b []byte) int {
	for {
		n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EINTR {
			continue
		}
		return max(n, 0)
	}
}

// NewestArrival returns when the system received the newest bytes on the socket with descriptor fd, whether they are read or not. It
// is the time now if the system does not say that, or if that lies at most tolerance before now: the system counts in milliseconds.
func NewestArrival(fd uintptr, now time.Time, tolerance time.Duration) time.Time {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	if age := time.Duration(info.Last_data_recv) * time.Millisecond; age > tolerance {
		return now.Add(-age)
	}
	return now
}
