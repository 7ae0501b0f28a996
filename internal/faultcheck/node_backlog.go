package faultcheck

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// fullBacklog is a listening address at which no new connection is established, because its accept queue is full.
type fullBacklog struct {
	// fd is the file descriptor of the listening socket, from which no connection is accepted.
	fd int
	// connections are the open connections that fill the accept queue.
	connections []net.Conn
}

const (
	// backlogDialTimeout is how long fillBacklog waits for one of its own connections; the first one that is not established shows that
	// the queue is full.
	backlogDialTimeout = 60 * time.Millisecond
	// maxBacklogConnections is the maximum number of connections that fillBacklog opens.
	maxBacklogConnections = 8
)

// fillBacklog keeps new connections to the node's address from being established; the open ones stay. It is an error if connections are
// still established after maxBacklogConnections.
func (n *node) fillBacklog() error {
	n.mu.Lock()
	n.listener.Close()
	addr := n.addr
	n.mu.Unlock()
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	backlog := &fullBacklog{fd: fd}
	defer func() {
		n.mu.Lock()
		n.backlog = backlog
		n.mu.Unlock()
	}()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	bindTo := &syscall.SockaddrInet4{Port: resolved.Port, Addr: [4]byte(resolved.IP.To4())}
	if err := errors.Join(syscall.Bind(fd, bindTo), syscall.Listen(fd, 0)); err != nil {
		return err
	}
	for range maxBacklogConnections {
		c, err := net.DialTimeout("tcp", addr, backlogDialTimeout)
		if err != nil {
			return nil
		}
		backlog.connections = append(backlog.connections, c)
	}
	return errors.New("connections come up though nobody accepts them")
}

// releaseBacklog undoes fillBacklog: it closes the connections that filled the accept queue and the listener, so that the address refuses
// connections.
func (n *node) releaseBacklog() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.backlog == nil {
		return
	}
	for _, c := range n.backlog.connections {
		c.Close()
	}
	syscall.Close(n.backlog.fd)
	n.backlog = nil
}
