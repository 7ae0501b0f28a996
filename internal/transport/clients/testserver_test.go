package clients

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"brackenfront/internal/transport/sockets"
)

// maxTestWait bounds every wait of a test. No wait is expected to come near it.
const maxTestWait = 20 * time.Second

// noOtherConns is a ConnectionPool without connections.
type noOtherConns struct{}

// OpenConnections returns the number of open connections, which is always 0.
func (noOtherConns) OpenConnections() int { return 0 }

// CloseUnused is called with the highest number of unused connections to close, and returns how many it closed: always 0, as there
// are none.
func (noOtherConns) CloseUnused(int) int { return 0 }

// testServer is a Server under test, with a transport whose responses the test chooses.
type testServer struct {
	// T is the test that uses the server; failures are reported to it.
	*testing.T
	// Server is the server under test.
	*Server
	// forwarded is how many requests have reached the transport and were read completely by it.
	forwarded atomic.Int32
	// respond returns the transport's response to each request that it forwards; it is respondOK unless the test sets another
	// function before Serve.
	respond func(r *http.Request) (*http.Response, error)
}

// newTestServer returns a server that listens on a free port, and serves nothing before Serve. The result of wrap, if that is
// not nil, replaces the server's listener. At the end of the test the server is drained with a context that has ended already,
// so that it ends at once.
func newTestServer(t *testing.T, wrap func(net.Listener) net.Listener) *testServer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &testServer{T: t, respond: respondOK}
	transport := roundTripFunc(func(r *http.Request) (*http.Response, error) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return nil, err
		}
		s.forwarded.Add(1)
		return s.respond(r)
	})
	var err error
	s.Server, err = Listen("127.0.0.1:0", Limits{
		RequestTimeout:   3 * maxTestWait,
		IdleTimeout:      3 * maxTestWait,
		MaxConnections:   1000,
		MaxUnused:        1000,
		MaxRequestMemory: 1 << 20,
		AcceptRetryDelay: time.Millisecond,
	}, transport, func() bool { return true }, noOtherConns{}, log)
	if err != nil {
		t.Fatal(err)
	}
	if wrap != nil {
		s.netListener = wrap(s.netListener)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.netListener.Close()
		s.Drain(ctx, 0)
	})
	return s
}

// roundTripFunc is a function that serves as an http.RoundTripper.
type roundTripFunc func(r *http.Request) (*http.Response, error)

// RoundTrip calls the function.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// respondOK responds with status 200 and the body "ok".
func respondOK(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, ContentLength: 2,
		Body: io.NopCloser(strings.NewReader("ok")), Request: r}, nil
}

// searchRequest is a complete request with a body, which the server forwards to its transport.
const searchRequest = "POST /all HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"

// dial opens a client's connection, and returns it with a reader of its responses.
func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	s.Helper()
	client, err := net.Dial("tcp", s.Addr())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(maxTestWait))
	return client, bufio.NewReader(client)
}

// dialIdle opens a client's connection and waits until it is idle after its first response.
func (s *testServer) dialIdle() (net.Conn, *bufio.Reader) {
	s.Helper()
	client, responses := s.dial()
	io.WriteString(client, searchRequest)
	s.readOK(responses)
	s.waitUntil("an idle connection", func() bool { return s.allConns(1, func(c *conn) bool { return c.idle }) })
	return client, responses
}

// readOK reads one response, which has to be that of respondOK, and reports whether it is the connection's last, that is,
// whether it carries "Connection: close".
func (s *testServer) readOK(responses *bufio.Reader) (last bool) {
	s.Helper()
	res, err := http.ReadResponse(responses, nil)
	if err != nil {
		s.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || res.StatusCode != 200 || string(body) != "ok" {
		s.Fatalf("response %s with body %q, error %v", res.Status, body, err)
	}
	return res.Close
}

// readLastStatus reads one response and returns its status. The test fails unless the response announces the connection's end
// and the connection then ends.
func (s *testServer) readLastStatus(responses *bufio.Reader) int {
	s.Helper()
	res, err := http.ReadResponse(responses, nil)
	if err != nil {
		s.Fatalf("no response: %v", err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || !res.Close {
		s.Fatalf("response %s, announces the connection's end: %t, error %v", res.Status, res.Close, err)
	}
	s.wantEOF(responses)
	return res.StatusCode
}

// wantBadRequest reads one response, and fails the test unless that has status 400, its connection ends with it, and no request
// was forwarded to the transport since the server was made.
func (s *testServer) wantBadRequest(responses *bufio.Reader) {
	s.Helper()
	res, err := http.ReadResponse(responses, nil)
	if err != nil {
		s.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusBadRequest || !res.Close {
		s.Fatalf("response %s, announces the connection's end: %t, error %v", res.Status, res.Close, err)
	}
	s.wantEOF(responses)
	if n := s.forwarded.Load(); n != 0 {
		s.Fatalf("%d requests were forwarded", n)
	}
}

// wantEOF fails the test unless the connection ends with an end of stream, not a reset, and without further bytes.
func (s *testServer) wantEOF(responses io.Reader) {
	s.Helper()
	if rest, err := io.ReadAll(responses); err != nil || len(rest) > 0 {
		s.Fatalf("the connection ends with bytes %q, error %v", rest, err)
	}
}

// waitUntil waits until the condition holds, and fails the test after maxTestWait; what describes it in the failure message.
func (s *testServer) waitUntil(what string, condition func() bool) {
	s.Helper()
	for end := time.Now().Add(maxTestWait); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.Fatalf("timed out waiting for %s", what)
		}
	}
}

// allConns reports whether the server has exactly n open connections and the condition holds for each. The condition is called with
// the mu of the connection locked.
func (s *testServer) allConns(n int, condition func(c *conn) bool) bool {
	all := s.openConns()
	for _, c := range all {
		c.mu.Lock()
		ok := condition(c)
		c.mu.Unlock()
		if !ok {
			return false
		}
	}
	return len(all) == n
}

// countServed makes the server count the connections that it serves as HTTP connections, and returns the count. It has to be called
// before Serve.
func (s *testServer) countServed() *atomic.Int32 {
	served := new(atomic.Int32)
	s.httpServer.ConnState = func(netConn net.Conn, state http.ConnState) {
		if s.connStateChanged(netConn, state); state == http.StateNew {
			served.Add(1)
		}
	}
	return served
}

// waitUntilUnread waits until bytes are unread in the socket of the only connection.
func (s *testServer) waitUntilUnread() {
	s.Helper()
	s.waitUntil("unread bytes", func() bool {
		return s.allConns(1, func(c *conn) (unread bool) {
			c.rawConn.Control(func(fd uintptr) { unread = sockets.Readable(fd) })
			return unread
		})
	})
}

// startDrain begins a drain, in which the server accepts new connections for another acceptFor, and returns once it is in
// progress. done is closed once the drain has ended. The test fails if that takes longer than maxTestWait, or if the server's
// counts of unused connections are not 0 by then.
func (s *testServer) startDrain(acceptFor time.Duration) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), maxTestWait)
		defer cancel()
		if s.Drain(ctx, acceptFor); ctx.Err() != nil {
			s.Error("the drain had to be cut short")
		}
		if closing, unused := s.closingConns.Load(), s.unusedConns.Load(); closing != 0 || unused != 0 {
			s.Errorf("with all connections ended, %d count as being closed and %d as unused", closing, unused)
		}
	}()
	s.waitUntil("the drain", s.draining.Load)
	return done
}

// clientEndArrived reports, without waiting, whether the client's end of stream has arrived in the socket of the connection.
func clientEndArrived(c *conn) (arrived bool) {
	c.rawConn.Control(func(fd uintptr) {
		sockets := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(sockets, 0)
		arrived = err == nil && n > 0
	})
	return arrived
}

// readHoldingListener accepts connections whose reads of more than one byte can be delayed: such a read has taken its bytes from
// the socket, and does not return them to the server before release is closed. These connections give no access to their socket.
type readHoldingListener struct {
	// Listener accepts the connections whose reads are delayed.
	net.Listener
	// holding makes reads wait for release once they have taken bytes. Reads of a single byte do not wait: net/http only looks for
	// the client's close by them.
	holding atomic.Bool
	// readDone receives a value when a read of any of the connections has taken bytes from the socket and begins to wait for
	// release.
	readDone chan struct{}
	// release is closed to let the held reads return.
	release chan struct{}
}

// Accept returns the next connection as a readHoldingConn.
func (l *readHoldingListener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readHoldingConn{netConn.(*net.TCPConn), l}, nil
}

// readHoldingConn is a connection of a readHoldingListener.
type readHoldingConn struct {
	// TCPConn is the accepted connection.
	*net.TCPConn
	// listener accepted the connection, and says when its reads are delayed.
	listener *readHoldingListener
}

// SyscallConn always fails, so that the server cannot poll the socket.
func (c *readHoldingConn) SyscallConn() (syscall.RawConn, error) {
	return nil, errors.New("no access to the socket")
}

// Read reads from the socket. While the listener's holding is set, it returns the bytes only after the listener's release is
// closed, except where b has room for one byte only.
func (c *readHoldingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	// A read of a single byte only looks for the client's end.
	if n > 0 && len(b) > 1 && c.listener.holding.Load() {
		c.listener.readDone <- struct{}{}
		<-c.listener.release
	}
	return n, err
}

// firstReadHoldingListener accepts connections of which one read can be delayed: it has taken its bytes from the socket, and does
// not return them to the server before release is closed. Unlike those of a readHoldingListener, these connections give access to
// their socket.
type firstReadHoldingListener struct {
	// Listener accepts the connections of which one read is delayed.
	net.Listener
	// holding makes the next read of any of the connections wait for release once it has taken bytes; that read sets holding to
	// false.
	holding atomic.Bool
	// readDone receives a value when the delayed read has taken bytes from the socket and begins to wait for release.
	readDone chan struct{}
	// release is closed to let that read return.
	release chan struct{}
}

// Accept returns the next connection as a firstReadHoldingConn.
func (l *firstReadHoldingListener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &firstReadHoldingConn{netConn.(*net.TCPConn), l}, nil
}

// firstReadHoldingConn is a connection of a firstReadHoldingListener.
type firstReadHoldingConn struct {
	// TCPConn is the accepted connection.
	*net.TCPConn
	// listener accepted the connection, and says when its next read is delayed.
	listener *firstReadHoldingListener
}

// Read reads from the socket. If the listener's holding is set, it sets that to false and returns the bytes only after the
// listener's release is closed.
func (c *firstReadHoldingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.listener.holding.CompareAndSwap(true, false) {
		c.listener.readDone <- struct{}{}
		<-c.listener.release
	}
	return n, err
}

// unreadListener accepts connections whose reads can be delayed, so that received bytes stay unread in the socket.
type unreadListener struct {
	// Listener accepts the connections whose reads are delayed.
	net.Listener
	// holding makes reads wait for release before they take any bytes.
	holding atomic.Bool
	// release is closed to let the waiting reads go on.
	release chan struct{}
}

// Accept returns the next connection as an unreadConn.
func (l *unreadListener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &unreadConn{netConn.(*net.TCPConn), l}, nil
}

// unreadConn is a connection of an unreadListener: its reads can be delayed.
type unreadConn struct {
	// TCPConn is the accepted connection.
	*net.TCPConn
	// listener accepted the connection, and says when its reads are delayed.
	listener *unreadListener
}

// Read reads from the socket. While the listener's holding is set, it first waits until the listener's release is closed, and
// leaves the bytes in the socket until then.
func (c *unreadConn) Read(b []byte) (int, error) {
	if c.listener.holding.Load() {
		<-c.listener.release
	}
	return c.TCPConn.Read(b)
}

// wideSendBufferListener accepts connections whose send buffer has room for the whole of a long response, so that writing it does
// not block.
type wideSendBufferListener struct {
	// Listener accepts the connections, whose send buffers Accept then enlarges.
	net.Listener
}

// Accept returns the next connection, with a send buffer of 4 MiB.
func (l wideSendBufferListener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err == nil {
		netConn.(*net.TCPConn).SetWriteBuffer(4 << 20)
	}
	return netConn, err
}
