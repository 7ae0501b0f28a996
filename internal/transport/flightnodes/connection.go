package flightnodes

import (
	"brackenfront/fairshare"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/sockets"
)

// codeSendTimeout is the close code of a connection whose written bytes did not leave this machine in time, as the node does not read, or
// were dropped by the node's machine, which has shrunk its receive window (parts.WindowCheck); also of one that AbortWrites,
// RecallUnsent or waitForReset closed to end a write in progress.
const codeSendTimeout = "stuck"

// connection is one connection to a node, open or being opened: a gRPC client that may dial once. If the gRPC library could
// reconnect by itself, it would send a part at a time that the router did not choose.
type connection struct {
	// pool is the owner, whose lock guards the connection.
	pool *ConnPool
	// address is the node's address, as host:port.
	address string
	// grpcConn opens the streams of attempts.
	grpcConn *grpc.ClientConn
	// client makes the calls of health probes (the Flight action "health"), over grpcConn.
	client flight.FlightServiceClient
	// dialAttempted says that the gRPC library has called the method dial, whose further calls fail.
	dialAttempted atomic.Bool

	// The pool's lock guards the fields below.

	// attempts holds the attempts in flight, by activeAttempt.tag.
	attempts map[string]*activeAttempt
	// probesInFlight is the number of health probes that wait for their answer.
	probesInFlight int
	// tracked is the connection's socket, which parses what is written to it; nil until the dial has succeeded.
	tracked *trackedConn
	// wasUp is set once the connection has been established, and stays set when it ends.
	wasUp bool
	// retiring says that the connection takes no further attempt, as its end has begun or an attempt on it never left this machine,
	// and that it is closed once nothing is in flight on it.
	retiring bool
	// closed is set by the method close: the connection is out of the pool, and its socket is closed or about to be.
	closed bool
	// closeCode is the first close code that was recorded, a word that says why the connection ends; empty while there is none.
	// Counts.ClosedByCode lists the words.
	closeCode string
	// createdAt is when the dial began.
	createdAt time.Time
	// lastUsedAt is when an attempt or a probe on the connection last ended; createdAt before that.
	lastUsedAt time.Time
	// busySince is since when at least one attempt or probe has been in flight without interruption; zero if none is.
	busySince time.Time
	// idleTimer calls closeIfIdle when the connection may have been unused for too long; nil until it is first unused.
	idleTimer *time.Timer
}

// openConnection adds a new connection to the node at address to the pool, begins to dial it, and starts watchState for it. The
// caller holds the pool's lock.
func (p *ConnPool) openConnection(address string) *connection {
	conn := p.newConnection(address)
	p.goroutines.Add(1)
	go conn.watchState()
	return conn
}

// newConnection adds a new connection to the node at address to the pool and begins to dial it. The caller holds the pool's lock, and
// has to start watchState for the connection.
func (p *ConnPool) newConnection(address string) *connection {
	now := time.Now()
	conn := &connection{
		pool:       p,
		address:    address,
		attempts:   map[string]*activeAttempt{},
		createdAt:  now,
		lastUsedAt: now,
	}
	p.connections[address] = append(p.connections[address], conn)
	p.counts.ConnectionsDialled++
	grpcConn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(conn.dial),
		grpc.WithDisableRetry(), grpc.WithNoProxy(), grpc.WithIdleTimeout(0), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: time.Hour, Multiplier: 1, MaxDelay: time.Hour},
			MinConnectTimeout: p.limits.ConnectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(p.limits.MaxMessageBytes)))
	// The library fails here only for invalid options or an invalid address.
	if err != nil {
		p.log.WithError(err).WithField("peer", address).Warn("invalid address of a Flight node")
		conn.closed = true
		conn.retiring = true
	}
	conn.grpcConn = grpcConn
	conn.client = flight.NewFlightServiceClient(grpcConn)
	grpcConn.Connect()
	return conn
}

// dial is called by the gRPC library, on a goroutine of its own, to open the socket to the node at address (host:port); it returns
// the socket as a trackedConn. Every call after the first fails.
func (c *connection) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.dialAttempted.Swap(true) {
		return nil, errors.New("this connection has ended")
	}
	socket, err := c.pool.limits.Dial.DialWithRetry(ctx, address, c.pool.closeUnused, c.pool.limits.DescriptorRetryPause, c.pool.limits.ConnectTimeout)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if err != nil {
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			c.setCloseCode("refused")
		case parts.OutOfDescriptors(err):
			c.setCloseCode("descriptors")
		}
		return nil, err
	}
	if c.closed {
		socket.Close()
		return nil, net.ErrClosed
	}
	c.tracked = newTrackedConn(socket, c)
	c.tracked.turn = c.pool.limits.Turns.NewTurn(&fairshare.Source{})
	return c.tracked, nil
}

// onWriteProgress is called by trackedConn when the last byte of an attempt's request (endsRequest), or of its stream's reset (not
// endsRequest), reaches a writeStage; tag is the attempt's tag. A request counts as having left this machine as soon as the write
// begins: its node may have read it, run it and ended the stream before the write returns here.
func (c *connection) onWriteProgress(tag string, endsRequest bool, stage writeStage) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	active := c.attempts[tag]
	if active == nil {
		return
	}
	switch {
	case stage == aboutToWrite:
		active.requestLeft = active.requestLeft || endsRequest
		return
	// The connection ends after a failed write; onClosed settles the rest.
	case stage == notWritten:
		active.requestLeft = active.requestLeft && !endsRequest
		return
	case stage == inSendBuffer:
		if endsRequest {
			active.written = true
			active.inSendBuffer = true
			c.pool.counts.AttemptsWritten++
			active.releasePermission()
		}
		return
	case !endsRequest:
		active.markResetSent()
	}
	active.requestSettled()
}

// sendDeadlineOf returns the time by which the request of the attempt with that tag has to have left this machine; zero if no such
// attempt is in flight on the connection.
func (c *connection) sendDeadlineOf(tag string) (deadline time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if active := c.attempts[tag]; active != nil {
		deadline = active.sendDeadline
	}
	return deadline
}

// onSendTimeout is called by trackedConn before the connection is closed because written bytes do not reach the node's machine in time. It sets
// the close code codeSendTimeout, and the connection takes no further attempt.
func (c *connection) onSendTimeout() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.setCloseCode(codeSendTimeout)
	c.retiring = true
}

// hasAttempt reports whether the attempt with that tag is in flight on the connection.
func (c *connection) hasAttempt(tag string) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.attempts[tag] != nil
}

// onClosed is called by trackedConn once the socket is closed and no more bytes can leave on it: it calls requestSettled for each
// attempt in flight, and the connection takes no further attempt.
func (c *connection) onClosed() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for _, active := range c.attempts {
		active.markResetSent()
		active.requestSettled()
	}
	c.retiring = true
}

// watchState runs on a goroutine of its own. It sets wasUp when the connection is established, waits until the connection has failed or
// ended, waits for the end of the attempts and health probes that still wait for an answer on it, and then logs and counts the close.
func (c *connection) watchState() {
	pool := c.pool
	defer pool.goroutines.Done()
	up := false
	for state := c.grpcConn.GetState(); ; state = c.grpcConn.GetState() {
		if state == connectivity.Ready {
			up = true
			pool.mu.Lock()
			c.wasUp = true
			c.checkUnused()
			pool.mu.Unlock()
		} else if state == connectivity.Shutdown || up || state == connectivity.TransientFailure {
			// In these states the connection takes no further attempt; answers to what is in flight on it may still come.
			break
		}
		c.grpcConn.WaitForStateChange(context.Background(), state)
	}
	pool.mu.Lock()
	c.retiring = true
	if !up {
		c.setCloseCode("unreached")
	} else {
		c.setCloseCode("ended")
	}
	c.checkUnused()
	if len(c.attempts) == 0 && c.probesInFlight == 0 {
		c.close(c.closeCode)
	}
	pool.mu.Unlock()
	for state := c.grpcConn.GetState(); state != connectivity.Shutdown; state = c.grpcConn.GetState() {
		c.grpcConn.WaitForStateChange(context.Background(), state)
	}
	pool.mu.Lock()
	pool.counts.ConnectionsClosed++
	pool.counts.ClosedByCode[c.closeCode]++
	lifetime := time.Since(c.createdAt)
	pool.mu.Unlock()
	pool.log.WithField("side", "leaf").WithField("peer", c.address).WithField("code", c.closeCode).
		WithField("ms", lifetime.Milliseconds()).Info("connection ended")
}

// setCloseCode records the close code, a word that says why the connection ends (Counts.ClosedByCode lists them); only the first
// one is kept. The caller holds the pool's lock.
func (c *connection) setCloseCode(code string) {
	if c.closeCode == "" {
		c.closeCode = code
	}
}

// streamOpened notes that a stream has been opened on the connection, which is up then. Without it the connection would
// count as being opened until watchState has been told of its state: it would not be closed as unused, nor would a request
// that never left it be sent once more. The caller holds the pool's lock.
func (c *connection) streamOpened() { c.wasUp = true }

// unused returns whether the connection is up and nothing is in flight on it. The caller holds the pool's lock.
func (c *connection) unused() bool {
	return c.wasUp && !c.closed && len(c.attempts) == 0 && c.probesInFlight == 0
}

// reusable returns whether an attempt may be sent on the connection. It may not if the connection has been unused for so long that
// the node may close it before the request arrives. The caller holds the pool's lock.
func (c *connection) reusable() bool {
	return !c.unused() || time.Since(c.lastUsedAt) < c.pool.limits.PeerIdleTimeout-c.pool.limits.ConnectTimeout
}

// lastSignOfLife returns when bytes were last received on the connection, or busySince where that is later; CloseIdleOrSilent
// measures the node's silence from it. The caller holds the pool's lock.
func (c *connection) lastSignOfLife() time.Time {
	last := c.busySince
	if c.tracked != nil {
		if lastRead := c.tracked.lastRead(); lastRead.After(last) {
			last = lastRead
		}
	}
	return last
}

// hasUnread reports, without waiting, whether the socket holds bytes, or an end of stream, that the gRPC library has not read yet. The
// caller holds the pool's lock.
func (c *connection) hasUnread() bool { return c.tracked != nil && sockets.HasUnread(c.tracked.Conn) }

// checkUnused is called when the connection has been established or has ended, and when an attempt or a probe on it has ended. If
// nothing is in flight on it, it closes the connection if that is retiring (takes no further attempt). Otherwise it starts
// idleTimer, if that is not running, which closes the connection before the node would close it as idle (Limits.PeerIdleTimeout).
// The caller holds the pool's lock.
func (c *connection) checkUnused() {
	if len(c.attempts) > 0 || c.probesInFlight > 0 {
		return
	}
	c.lastUsedAt = time.Now()
	c.busySince = time.Time{}
	if c.retiring {
		c.close("ended")
		return
	}
	if c.idleTimer == nil && c.wasUp {
		c.idleTimer = time.AfterFunc(c.pool.limits.PeerIdleTimeout-c.pool.limits.ConnectTimeout, c.closeIfIdle)
	}
}

// closeIfIdle is called by idleTimer. It closes the connection if that has been unused for Limits.PeerIdleTimeout less
// Limits.ConnectTimeout, that is, before the node may close it; if not, it sets the timer again.
func (c *connection) closeIfIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	remaining := c.pool.limits.PeerIdleTimeout - c.pool.limits.ConnectTimeout - time.Since(c.lastUsedAt)
	if c.unused() && remaining <= 0 {
		c.close("idle")
	} else if !c.closed {
		c.idleTimer = time.AfterFunc(max(remaining, c.pool.limits.ConnectTimeout), c.closeIfIdle)
	}
}

// close takes the connection out of the pool and closes it on a goroutine of its own. code says why, for the log and the counts; it
// is ignored if another was recorded before. Repeated calls have no effect. The caller holds the pool's lock.
func (c *connection) close(code string) {
	c.setCloseCode(code)
	if c.closed {
		return
	}
	c.closed = true
	c.retiring = true
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	remaining := c.pool.connections[c.address]
	if i := slices.Index(remaining, c); i >= 0 {
		remaining = slices.Delete(remaining, i, i+1)
	}
	if c.pool.connections[c.address] = remaining; len(remaining) == 0 {
		delete(c.pool.connections, c.address)
	}
	tracked := c.tracked
	busy := len(c.attempts) > 0
	c.pool.goroutines.Add(1)
	// Both closes call back into the pool, whose lock is held here.
	go func() {
		defer c.pool.goroutines.Done()
		if tracked != nil {
			if busy {
				parts.DiscardUnsentOnClose(tracked.Conn)
			}
			tracked.Close()
		}
		c.grpcConn.Close()
	}()
}
