package clients

import (
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brackenfront/internal/transport/parts"
)

// retryingListener accepts connections for a server. Where accepting fails by a shortage of descriptors or another transient
// error it pauses and tries again.
type retryingListener struct {
	// Listener is the listener of the server's address.
	net.Listener
	// server is the server that the accepted connections are added to.
	server *Server
}

// Accept returns the next connection as a *conn. If no file descriptor is free, it closes an unused connection and tries again.
// Connections for which rejectHalfClosed is true are rejected and not returned. An error means that further calls would fail as
// well, as when the listener is closed.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if parts.OutOfDescriptors(err) {
			// The pause gives the connection that was just closed time to end: the next attempt to accept would otherwise
			// close another one while the first is still ending, beginning with those to nodes.
			l.server.CloseUnused(1)
			time.Sleep(l.server.limits.AcceptRetryDelay)
			continue
		}
		// Returning such an error would end the server, and with it the program.
		if parts.TransientAcceptError(err) {
			time.Sleep(l.server.limits.AcceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		if rejectHalfClosed(c) {
			l.server.countRejectedHalfClosed()
			continue
		}
		return l.server.addConn(c), nil
	}
}

// rejectHalfClosed answers and closes a new connection whose client sent searches and ended its sending side before it was
// accepted, and reports whether it did. The first request gets the response that net/http would give, as the last one of the
// connection. Clients may send many requests at once and close, on hundreds of connections: serving each as an HTTP connection
// would delay all other clients.
func rejectHalfClosed(netConn net.Conn) bool {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	halfClosed := false
	if rawConn.Control(func(fd uintptr) { halfClosed = halfClosedBehindSearch(int(fd)) }) != nil || !halfClosed {
		return false
	}
	// A socket that is closed over unread bytes is reset, and the response could be lost with that. All bytes that will come
	// have come, so that this does not wait.
	io.CopyN(io.Discard, netConn, maxLingerBytes)
	io.WriteString(netConn, badRequestClose)
	netConn.Close()
	return true
}

// serverRequestPrefixes are the first bytes of requests that are not searches. Programs that check the server's health may end
// their sending side after such a request.
var serverRequestPrefixes = [...]string{"GET /healthz", "HEAD /healthz", "OPTIONS *"}

// longestServerRequestPrefix is the length in bytes of the longest of serverRequestPrefixes.
const longestServerRequestPrefix = len("HEAD /healthz")

// halfClosedBehindSearch reports, without waiting, whether the client of a socket has sent the beginning of a search and has
// then ended its sending side.
func halfClosedBehindSearch(fd int) bool {
	sockets := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	if n, err := unix.Poll(sockets, 0); err != nil || n == 0 {
		return false
	}
	var start [longestServerRequestPrefix]byte
	n, _, err := unix.Recvfrom(fd, start[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil || n <= 0 {
		return false
	}
	return !slices.ContainsFunc(serverRequestPrefixes[:], func(prefix string) bool { return strings.HasPrefix(string(start[:n]), prefix) })
}
