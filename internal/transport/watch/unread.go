package watch

import (
	"net"
	"sync/atomic"
	"syscall"

	"brackenfront/internal/transport/sockets"
)

// discoveryConn is a connection to discovery that knows whether it has brought anything that the Watcher has not delivered yet.
type discoveryConn struct {
	// Conn is the connection.
	net.Conn
	// rawConn gives access to the connection's socket; nil where it has none.
	rawConn syscall.RawConn
	// handling is set from when bytes were read until the next read begins: by then all updates in them have been delivered, as the
	// same goroutine reads, parses and delivers.
	handling atomic.Bool
}

// newDiscoveryConn returns the discoveryConn of an opened connection.
func newDiscoveryConn(opened net.Conn) *discoveryConn {
	conn := &discoveryConn{Conn: opened}
	if socket, ok := opened.(syscall.Conn); ok {
		conn.rawConn, _ = socket.SyscallConn()
	}
	return conn
}

// Read reads from the connection; what was read before counts as handled.
func (c *discoveryConn) Read(b []byte) (int, error) {
	c.handling.Store(false)
	n, err := c.Conn.Read(b)
	c.handling.Store(n > 0)
	return n, err
}

// unread reports, without waiting, whether bytes lie in the socket, or were read and may hold updates that are not delivered yet.
func (c *discoveryConn) unread() (unread bool) {
	if c.handling.Load() {
		return true
	}
	if c.rawConn != nil {
		c.rawConn.Control(func(fd uintptr) { unread = sockets.Readable(fd) })
	}
	// The bytes may have been read between the two looks.
	return unread || c.handling.Load()
}

// Unread reports, without waiting, whether discovery has sent anything that lies at this machine and that the Watcher has not delivered:
// after a pause of this process, an update may have come long before the goroutine that reads it runs. Any goroutine may call it.
func (w *Watcher) Unread() bool {
	conn := w.conn.Load()
	return conn != nil && conn.unread()
}
