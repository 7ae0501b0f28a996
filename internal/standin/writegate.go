package standin

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// gateQueueLength is the capacity of two channels: WriteGate.Writes, for writes that the test has yet to receive, and
// gatedConn.input, for replies (GatedWrite.Reply) that the connection's user has yet to read. Once a channel is full, a further
// write or reply waits for room.
const gateQueueLength = 99

// WriteGate makes connections in memory on which every Write waits until the test releases it. So a test can let anything
// happen between a caller's decision to write and the end of the write, in an order that does not depend on timing. With HoldDials
// it does the same for the establishment of a connection.
type WriteGate struct {
	// Writes receives every write as it begins, for the test to release or reply to.
	Writes chan *GatedWrite

	// mu guards the fields below.
	mu sync.Mutex
	// heldDials maps each address that HoldDials was last called for to the channel that its function free closes. A closed
	// channel stays in the map, and holds no dial.
	heldDials map[string]chan struct{}
	// pending is the set of the writes that have begun and not returned; all values are true.
	pending map[*GatedWrite]bool
	// completed lists the writes that were released, and so written whole, in the order in which they returned.
	completed []*GatedWrite
}

// GatedWrite is one write on a connection of a WriteGate, which waits until the test releases it.
type GatedWrite struct {
	// Addr is the address that was dialled.
	Addr string
	// Text is the bytes to be written.
	Text string

	// conn is the connection that is written to.
	conn *gatedConn
	// released is the channel that Release closes to let the write succeed.
	released chan struct{}
}

// NewWriteGate makes a gate that holds every write; dials are not held until HoldDials is called.
func NewWriteGate() *WriteGate {
	return &WriteGate{
		Writes:    make(chan *GatedWrite, gateQueueLength),
		heldDials: map[string]chan struct{}{},
		pending:   map[*GatedWrite]bool{},
	}
}

// HoldDials makes every Dial to an address that begins from now on wait until the returned function free is called, so that a test
// can let things happen while a connection is being established. free may be called once; later dials do not wait.
func (g *WriteGate) HoldDials(addr string) (free func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := make(chan struct{})
	g.heldDials[addr] = held
	return func() { close(held) }
}

// Dial opens a connection in memory to an address; the network's name is ignored. It has the signature of a dial function in
// the limits of a connection pool. If HoldDials was called for the address, it waits until that is undone by free, and returns the
// context's error if the context ends before; it has no other error.
func (g *WriteGate) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	g.mu.Lock()
	held := g.heldDials[addr]
	g.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &gatedConn{
		gate:   g,
		addr:   addr,
		input:  make(chan []byte, gateQueueLength),
		closed: make(chan struct{}),
	}, nil
}

// HasPendingWrite reports whether a write whose bytes contain text has begun and not returned.
func (g *WriteGate) HasPendingWrite(text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for write := range g.pending {
		if strings.Contains(write.Text, text) {
			return true
		}
	}
	return false
}

// CountCompletedWrites counts the writes to an address that were written whole and contain text.
func (g *WriteGate) CountCompletedWrites(addr, text string) (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, write := range g.completed {
		if write.Addr == addr && strings.Contains(write.Text, text) {
			count++
		}
	}
	return count
}

// Release lets the write succeed, unless its connection was closed before. It may be called once.
func (w *GatedWrite) Release() { close(w.released) }

// Reply makes bytes arrive from the other side on the connection of the write, whether the write was released or not.
func (w *GatedWrite) Reply(b []byte) { w.conn.input <- b }

// gatedConn is a connection in memory that a WriteGate has made.
type gatedConn struct {
	// gate is the WriteGate that made the connection.
	gate *WriteGate
	// addr is the address that was dialled.
	addr string
	// input queues the bytes that the test makes arrive; an element is what one call of GatedWrite.Reply passed.
	input chan []byte
	// unread is what Read has not returned yet of the element that it last took from input.
	unread []byte
	// closeOnce makes further calls of Close do nothing, so that the channel closed is closed only once.
	closeOnce sync.Once
	// closed is a channel that Close closes, to end waiting reads and writes.
	closed chan struct{}
}

// Read waits for bytes that the test sent with GatedWrite.Reply and returns them, and io.EOF after Close.
func (c *gatedConn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		select {
		case c.unread = <-c.input:
		case <-c.closed:
			return 0, io.EOF
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write waits until the test releases it, and fails with net.ErrClosed if the connection is closed before.
func (c *gatedConn) Write(b []byte) (n int, err error) {
	write := &GatedWrite{Addr: c.addr, Text: string(b), conn: c, released: make(chan struct{})}
	c.gate.mu.Lock()
	c.gate.pending[write] = true
	c.gate.mu.Unlock()
	c.gate.Writes <- write
	select {
	case <-write.released:
		n = len(b)
	case <-c.closed:
		err = net.ErrClosed
	}
	c.gate.mu.Lock()
	delete(c.gate.pending, write)
	if err == nil {
		c.gate.completed = append(c.gate.completed, write)
	}
	c.gate.mu.Unlock()
	return n, err
}

// Close ends the reads and writes of the connection. It never fails.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns an empty address.
func (c *gatedConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an empty address.
func (c *gatedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing: only the test ends the waits of the connection.
func (c *gatedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *gatedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *gatedConn) SetWriteDeadline(time.Time) error { return nil }
