package flightnodes_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
	"brackenfront/internal/standin"
	"brackenfront/internal/transport/flightnodes"
	"brackenfront/internal/transport/parts"
)

// testTimeout bounds every wait for something that has to happen.
const testTimeout = 20 * time.Second

// newLimits returns the limits of tests that need no others, with the given Limits.MayCancel. All timeouts are longer than a test takes.
func newLimits(mayCancel bool) flightnodes.Limits {
	return flightnodes.Limits{MaxStreamsPerConn: 8, ConnectTimeout: 5 * time.Second, PeerIdleTimeout: time.Minute, MaxWait: time.Minute,
		MayCancel: mayCancel, MaxMessageBytes: 1 << 20, MaxPartBytes: 1 << 20, AnswerMemory: &parts.MemoryBudget{MaxBytes: 1 << 20}}
}

// newPool makes a pool that logs nothing, which the caller has to close.
func newPool(limits flightnodes.Limits) *flightnodes.ConnPool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return flightnodes.NewConnPool(limits, log)
}

// newShortAttempt makes an attempt with a search text of one byte and a deadline in one minute.
func newShortAttempt(results resultRecorder, id string) *parts.Attempt {
	return &parts.Attempt{Permission: new(parts.SendPermission), ID: id, SearchText: "q", Deadline: time.Now().Add(time.Minute), Owner: results}
}

// blockedConn is a connection on which a write that includes a given text waits until the test closes release, or the connection
// is closed.
type blockedConn struct {
	// Conn is the connection to the node that everything else is passed on to.
	net.Conn
	// text is the text by which Write recognizes the write that has to wait.
	text []byte
	// writeBegun is closed when the write with the text begins.
	writeBegun chan struct{}
	// release is closed by the test to let the write go on.
	release chan struct{}
	// closeOnce lets Close be called repeatedly.
	closeOnce sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

// Write writes the data; if they include the text, it first waits for release. If the connection is closed meanwhile, it writes
// nothing and returns net.ErrClosed.
func (c *blockedConn) Write(data []byte) (int, error) {
	if bytes.Contains(data, c.text) {
		close(c.writeBegun)
		select {
		case <-c.release:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(data)
}

// Close closes the connection to the node. A Write that waits for release then returns net.ErrClosed. Close may be called
// repeatedly.
func (c *blockedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// resultRecorder is an owner of attempts: a channel that receives their results.
type resultRecorder chan protocol.AttemptResult

// AttemptEnded is called by the pool when an attempt has ended. It sends the result to the channel, and waits while that is full.
func (r resultRecorder) AttemptEnded(index, number int, result protocol.AttemptResult) { r <- result }

// startBlockedRequest starts a stand-in node at address, which standins controls, and a pool with mayCancel as its
// Limits.MayCancel, and sends an attempt, with the ID a.0, to the node. It returns when the write of the request has begun, which
// waits on the connection blocked until the test closes blocked.release. results receives the attempt's result.
func startBlockedRequest(t *testing.T, mayCancel bool) (pool *flightnodes.ConnPool, standins *standin.Script, address string, attempt *parts.Attempt, results resultRecorder, blocked *blockedConn) {
	standins = standin.NewScript()
	node, err := standins.NewNode("l", 0, true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	blocked = &blockedConn{text: []byte("a.0 0 d="), writeBegun: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{})}
	var dials atomic.Int32
	limits := newLimits(mayCancel)
	limits.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		// Only the first connection blocks; its goroutines may still run when the next one is dialled.
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		blocked.Conn = conn
		return blocked, nil
	}
	pool = newPool(limits)
	t.Cleanup(pool.Close)
	results = make(resultRecorder, 9)
	attempt = newShortAttempt(results, "a.0")
	pool.Send(node.Addr(), []*parts.Attempt{attempt})
	select {
	case <-blocked.writeBegun:
	case <-time.After(testTimeout):
		t.Fatal("the request was not written")
	}
	return pool, standins, node.Addr(), attempt, results, blocked
}

// waitForResult returns the next result of an attempt, or ends the test if none comes within testTimeout.
func waitForResult(t *testing.T, results resultRecorder) (result protocol.AttemptResult) {
	t.Helper()
	select {
	case result = <-results:
	case <-time.After(testTimeout):
		t.Fatal("the owner was not told of a result")
	}
	return result
}
