package standin

import (
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// HeldReads delays the reads of the connections that its listener accepts, so that what clients send, and the ends of their
// connections, stay unread in the sockets. Its methods may be called from any goroutine.
type HeldReads struct {
	// mu guards the fields below.
	mu sync.Mutex
	// released is closed by Release; nil while reads are not held.
	released chan struct{}
	// conns are the accepted connections.
	conns []*heldConn
}

// Listen returns a listener that accepts the connections of listener, as connections whose reads Hold delays.
func (h *HeldReads) Listen(listener net.Listener) net.Listener { return &heldListener{listener, h} }

// Hold makes every read wait for Release before it takes any bytes from its socket.
func (h *HeldReads) Hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released == nil {
		h.released = make(chan struct{})
	}
}

// Release lets the reads go on.
func (h *HeldReads) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released != nil {
		close(h.released)
		h.released = nil
	}
}

// wait returns once reads are not held.
func (h *HeldReads) wait() {
	h.mu.Lock()
	released := h.released
	h.mu.Unlock()
	if released != nil {
		<-released
	}
}

// Unread returns the number of bytes that lie unread in the sockets of all accepted connections together, and the number of
// these connections whose clients have closed them.
func (h *HeldReads) Unread() (bytes, closed int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		raw, err := conn.TCPConn.SyscallConn()
		if err != nil {
			continue
		}
		raw.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
				bytes += n
			}
			polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			if n, err := unix.Poll(polled, 0); err == nil && n > 0 {
				closed++
			}
		})
	}
	return bytes, closed
}

// heldListener accepts connections whose reads can be held.
type heldListener struct {
	// Listener accepts the connections.
	net.Listener
	// reads says when reads are held.
	reads *HeldReads
}

// Accept returns the next connection as a heldConn.
func (l *heldListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &heldConn{accepted.(*net.TCPConn), l.reads}
	l.reads.mu.Lock()
	defer l.reads.mu.Unlock()
	l.reads.conns = append(l.reads.conns, conn)
	return conn, nil
}

// heldConn is an accepted connection whose reads can be held, also those by its descriptor. What its descriptor is used for
// by RawConn.Control is not held.
type heldConn struct {
	// TCPConn is the accepted connection.
	*net.TCPConn
	// reads says when reads are held.
	reads *HeldReads
}

// Read reads from the socket, unless reads are held, also if they were not when it was called.
func (c *heldConn) Read(b []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	if err := raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b)
		return readErr != syscall.EAGAIN && readErr != syscall.EINTR
	}); err != nil {
		return 0, err
	}
	if n == 0 && readErr == nil && len(b) > 0 {
		readErr = io.EOF
	}
	return max(n, 0), readErr
}

// SyscallConn returns access to the descriptor, by which reads are held, too.
func (c *heldConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return heldRawConn{raw, c.reads}, err
}

// heldRawConn is access to the descriptor of a heldConn.
type heldRawConn struct {
	// RawConn gives access to the descriptor.
	syscall.RawConn
	// reads says when reads are held.
	reads *HeldReads
}

// Read calls read as the RawConn does, but not while reads are held.
func (c heldRawConn) Read(read func(fd uintptr) bool) error {
	return c.RawConn.Read(func(fd uintptr) bool {
		c.reads.wait()
		return read(fd)
	})
}
