package clients

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// scriptedConn is a client's connection whose reads return the pieces of a script, one at a time, and finally the client's
// close, so that a test chooses where reads end. What is written to it is discarded.
type scriptedConn struct {
	// closed is closed by Close, when the server closes the connection.
	closed chan struct{}
	// closeOnce makes further calls of Close have no effect.
	closeOnce sync.Once

	// mu guards the fields below.
	mu sync.Mutex
	// pieces are the texts that the next reads return, one for each read.
	pieces []string
	// forwarded holds the requests from this connection that the server's transport got, in order.
	forwarded []receivedRequest
}

// Read returns the next piece, as far as b has room for it, and io.EOF after the last one.
func (c *scriptedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.pieces[0])
	if c.pieces[0] = c.pieces[0][n:]; c.pieces[0] == "" {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

// Write discards the bytes, as if the client had received them.
func (c *scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

// Close closes the channel closed, by which deliver learns that the server has closed the connection; it always returns nil.
func (c *scriptedConn) Close() error { c.closeOnce.Do(func() { close(c.closed) }); return nil }

// LocalAddr returns a constant address, 127.0.0.1:1.
func (c *scriptedConn) LocalAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// RemoteAddr returns the same constant address as LocalAddr.
func (c *scriptedConn) RemoteAddr() net.Addr { return c.LocalAddr() }

// SetDeadline has no effect and returns nil: reads and writes never wait.
func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline has no effect and returns nil: reads never wait.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline has no effect and returns nil: writes never wait.
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// scriptedListener is a net.Listener whose Accept returns the scripted connections that the test sends to incoming.
type scriptedListener struct {
	// incoming delivers the connections to be accepted.
	incoming chan *scriptedConn
	// closed is closed when the listener is closed.
	closed chan struct{}
	// closeOnce makes further calls of Close have no effect.
	closeOnce sync.Once
}

// Accept waits for the next connection; it fails once the listener is closed.
func (l *scriptedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail from then on.
func (l *scriptedListener) Close() error { l.closeOnce.Do(func() { close(l.closed) }); return nil }

// Addr returns a constant address, at which nothing listens.
func (l *scriptedListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}

// newScriptedServer starts a server of scripted connections, and returns its listener. The server's transport records every
// request with the connection that it came on.
func newScriptedServer(t testing.TB) *scriptedListener {
	log := logrus.New()
	log.SetOutput(io.Discard)
	record := roundTripFunc(func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		c := r.Context().Value(connContextKey{}).(*conn).Conn.(*scriptedConn)
		c.mu.Lock()
		c.forwarded = append(c.forwarded, receivedRequest{r.Method, r.RequestURI, string(body)})
		c.mu.Unlock()
		return respondOK(r)
	})
	server, err := Listen("127.0.0.1:0", Limits{
		RequestTimeout:   3 * maxTestWait,
		IdleTimeout:      3 * maxTestWait,
		MaxConnections:   1000,
		MaxUnused:        1000,
		MaxRequestMemory: 1 << 20,
		AcceptRetryDelay: time.Millisecond,
	}, record, func() bool { return true }, noOtherConns{}, log)
	if err != nil {
		t.Fatal(err)
	}
	server.netListener.Close()
	listener := &scriptedListener{incoming: make(chan *scriptedConn), closed: make(chan struct{})}
	server.netListener = listener
	go server.Serve()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		listener.Close()
		server.Drain(ctx, 0)
	})
	return listener
}

// deliver opens a connection whose reads return the given pieces, waits until the server has closed it, and returns the
// requests that the transport got from it, in order. Empty pieces are left out.
func (l *scriptedListener) deliver(t testing.TB, pieces ...string) []receivedRequest {
	t.Helper()
	pieces = slices.DeleteFunc(slices.Clone(pieces), func(piece string) bool { return piece == "" })
	c := &scriptedConn{pieces: pieces, closed: make(chan struct{})}
	l.incoming <- c
	select {
	case <-c.closed:
	case <-time.After(maxTestWait):
		t.Fatalf("the connection does not end; %q is unread", c.pieces)
	}
	return c.forwarded
}
