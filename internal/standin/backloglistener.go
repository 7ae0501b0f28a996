package standin

import (
	"net"
	"sync"
	"syscall"
)

// BacklogListener is a listener that accepts nothing until its socket is asked for its backlog, or it is closed: a process that stands
// still does not accept either, while the system goes on establishing connections.
type BacklogListener struct {
	// TCPListener accepts the connections.
	*net.TCPListener
	// release closes released, once.
	release sync.Once
	// released is closed when connections may be accepted.
	released chan struct{}
}

// NewBacklogListener returns a BacklogListener on a listener of TCP, which must not be used otherwise.
func NewBacklogListener(listener net.Listener) *BacklogListener {
	return &BacklogListener{TCPListener: listener.(*net.TCPListener), released: make(chan struct{})}
}

// Accept waits until connections may be accepted, and accepts one.
func (l *BacklogListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// SyscallConn gives access to the listening socket, and lets connections be accepted from then on.
func (l *BacklogListener) SyscallConn() (syscall.RawConn, error) {
	defer l.release.Do(func() { close(l.released) })
	return l.TCPListener.SyscallConn()
}

// Close closes the listener, and lets Accept return.
func (l *BacklogListener) Close() error {
	defer l.release.Do(func() { close(l.released) })
	return l.TCPListener.Close()
}
