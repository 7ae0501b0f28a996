package clients

import (
	"brackenfront/fairshare"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// Counts are totals of connections since the start of the server.
type Counts struct {
	// Accepted is how many connections were accepted, including those that rejectHalfClosed then rejected.
	Accepted int
	// Closed is how many of the accepted connections have ended.
	Closed int
	// PeakOpen is the highest number of connections that were open at one time.
	PeakOpen int
	// ClosedByCode is how many connections have ended for each end code, which says why a connection ended: see codeDone and
	// the other constants of that group.
	ClosedByCode map[string]int
}

// Counts returns a copy of the totals. Any goroutine may call it.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.ClosedByCode = maps.Clone(s.counts.ClosedByCode)
	return c
}

// OpenConnections returns the number of clients' open connections. Those that the server has begun to close by itself do not
// count, as their descriptors are about to be free.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) - int(s.closingConns.Load())
}

// openConns returns all open connections, in no particular order.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// addConn wraps a connection that was just accepted in a conn, which it returns, and adds it to the server's connections. If
// Limits.MaxConnections is now exceeded, it closes unused connections, as many as there are too many.
func (s *Server) addConn(netConn net.Conn) *conn {
	c := &conn{Conn: netConn, server: s, acceptedAt: time.Now(), memory: requestMemory{budget: &s.requestMemory}}
	c.turn = s.limits.Turns.NewTurn(&fairshare.Source{})
	if raw, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = raw.SyscallConn()
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.counts.Accepted++
	s.counts.PeakOpen = max(s.counts.PeakOpen, len(s.conns))
	s.mu.Unlock()
	// Unused connections close before the descriptors run out and new connections would fail.
	if excess := s.OpenConnections() + s.otherConns.OpenConnections() - s.limits.MaxConnections; excess > 0 {
		s.CloseUnused(excess)
	}
	return c
}

// countRejectedHalfClosed counts a connection that was rejected and closed because its client had ended its sending side
// before it was accepted. Such a connection is not logged, as clients that open them in large numbers would flood the log.
func (s *Server) countRejectedHalfClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Accepted++
	s.counts.Closed++
	s.counts.ClosedByCode[codeLeft]++
}

// connStateChanged is the ConnState hook of the HTTP server. It counts each request that begins on a connection. When a
// connection becomes unused, it resets the state of the last request, and closes the connection if the server drains; if too
// many connections are unused, it closes those that have been unused longest.
func (s *Server) connStateChanged(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	switch state {
	case http.StateActive:
		c.requestCount++
	case http.StateIdle:
		c.memory.release()
		c.awaitingResponse = false
		c.handlerCalled = false
		c.responseBegun = false
		if c.requestBegun = len(c.pipelined) > 0; !c.requestBegun && !c.writeClosed {
			c.idle = true
			c.idleSince = time.Now()
			s.unusedConns.Add(1)
		}
	}
	c.mu.Unlock()
	if state != http.StateIdle {
		return
	}
	// The response may have been sent without "Connection: close", before the drain began.
	if s.draining.Load() {
		c.closeWriteIfUnused(codeDrained, func() bool { return true })
	}
	// Clients may send one request and keep their connection open. The number of their connections is bounded on their side
	// too, and a client that has reached that bound cannot send anything over a new one.
	if s.unusedConns.Load() > int64(s.limits.MaxUnused) {
		s.closeLongestUnused(math.MaxInt, s.limits.MaxUnused, codeKept)
	}
}

// removeConn takes a connection that has ended out of the server's connections, and counts and logs its end. Only the first call for
// a connection has an effect.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	_, held := s.conns[c]
	delete(s.conns, c)
	c.mu.Lock()
	c.memory.release()
	code := c.endCode
	requests := c.requestCount
	if held && c.closing {
		s.closingConns.Add(-1)
	}
	if held && c.idle {
		s.unusedConns.Add(-1)
		c.idle = false
	}
	c.mu.Unlock()
	if code == "" {
		// No other reason was recorded: the server closed the connection after a response that announced that.
		code = codeDone
	}
	if held {
		s.counts.Closed++
		s.counts.ClosedByCode[code]++
	}
	s.mu.Unlock()
	if held {
		select {
		case s.connEnded <- struct{}{}:
		default:
		}
		s.log.WithField("side", "client").WithField("peer", c.RemoteAddr().String()).WithField("code", code).
			WithField("requests", requests).WithField("ms", time.Since(c.acceptedAt).Milliseconds()).Info("connection ended")
	}
}
