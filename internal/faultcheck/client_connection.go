package faultcheck

import (
	"bufio"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// clientConnection is a connection of a client to a broker.
type clientConnection struct {
	// timestampedConn is the TCP connection, whose reads report when the bytes arrived.
	*timestampedConn
	// reader reads the answers, through the connection's own Read.
	reader *bufio.Reader
	// reused is set if a request was answered on the connection before.
	reused bool
	// lastByteAt is when the last byte read so far arrived at the client's machine.
	lastByteAt time.Time
}

// Read reads from the connection and sets lastByteAt to the time at which the last byte arrived.
func (c *clientConnection) Read(b []byte) (n int, err error) {
	n, at, err := c.readTimestamped(b)
	if n > 0 {
		c.lastByteAt = at
	}
	return n, err
}

// openConnection returns a kept connection to the process that the process has not ended, or a new one; if fresh is set, always a new one.
// For a process to which the load balancer sends no more connections it returns errNoNewConnections.
func (c *client) openConnection(process *brokerProcess, fresh bool) (*clientConnection, error) {
	for !fresh {
		c.mu.Lock()
		idle := c.idle[process]
		if len(idle) == 0 {
			c.mu.Unlock()
			break
		}
		kept := idle[len(idle)-1]
		c.idle[process] = idle[:len(idle)-1]
		c.mu.Unlock()
		if !kept.endedByBroker() {
			kept.reused = true
			return kept, nil
		}
		kept.Close()
	}
	if !c.acceptsConnections(process) {
		return nil, errNoNewConnections
	}
	dialed, err := net.DialTimeout("tcp", process.addr, answerGrace)
	if err != nil {
		return nil, err
	}
	// The connection may have been established too late.
	if !c.acceptsConnections(process) {
		dialed.Close()
		return nil, errNoNewConnections
	}
	timestamped, err := newTimestampedConn(dialed.(*net.TCPConn))
	if err != nil {
		dialed.Close()
		return nil, err
	}
	conn := &clientConnection{timestampedConn: timestamped}
	conn.reader = bufio.NewReader(conn)
	return conn, nil
}

// newConnectionsAfterTermination is the time after SIGTERM for which a broker still gets new connections, by the protocol.
const newConnectionsAfterTermination = 400 * time.Millisecond

// errNoNewConnections says that newConnectionsAfterTermination has passed since a process got SIGTERM.
var errNoNewConnections = errors.New("no more connections go to this broker, which was told to end")

// acceptsConnections reports whether the load balancer in front of the brokers still sends connections to a process: until
// newConnectionsAfterTermination after SIGTERM. A connection accepted at the very end of a drain would race with that end, which no broker
// can avoid.
func (c *client) acceptsConnections(process *brokerProcess) (accepts bool) {
	c.recorder.update(func(*History) {
		accepts = !process.terminating() || time.Since(process.terminatedAt) < newConnectionsAfterTermination
	})
	return accepts
}

// keepConnection keeps a connection to the process for a later delivery.
func (c *client) keepConnection(process *brokerProcess, conn *clientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[process] = append(c.idle[process], conn)
}

// endedByBroker reports whether the broker has closed its side, by the TCP state of the client's socket. If this is so when the
// request's last byte is written, the broker closed before the request arrived, and never reads it.
func (c *clientConnection) endedByBroker() (ended bool) {
	controlErr := c.raw.Control(func(fd uintptr) {
		ends := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(ends, 0)
		ended = err != nil || n > 0
	})
	return ended || controlErr != nil
}
