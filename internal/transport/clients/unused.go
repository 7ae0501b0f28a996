package clients

import (
	"slices"
	"time"
)

// minSilentAge is how long a connection stays open, when file descriptors are short, on which nothing is expected to be in progress: one on
// which the client has sent nothing, counted from when it was accepted, and one with part of a request, counted from when bytes last came.
const minSilentAge = time.Second

// CloseUnused closes at most limit unused connections, and returns how many it closed. Those of Server.otherConns, which lead to
// nodes, close first: a client cannot tell a connection that was closed as unused from one that ended while it was sending. Next
// come clients' connections that have been unused longest, then those that were accepted at least minSilentAge ago and on which
// the client has sent nothing since, and last those with part of a request whose rest has not come for minSilentAge. Any goroutine
// may call it.
func (s *Server) CloseUnused(limit int) int {
	closed := s.otherConns.CloseUnused(limit)
	closed += s.closeLongestUnused(limit-closed, 0, codeShort)
	if closed >= limit {
		return closed
	}
	silentSince := time.Now().Add(-minSilentAge)
	conns := s.openConns()
	for _, c := range conns {
		if closed < limit && c.closeWriteIfUnused(codeMute, func() bool { return c.acceptedAt.Before(silentSince) }) {
			closed++
		}
	}
	for _, c := range conns {
		if closed < limit && c.endPartialRequest(silentSince) {
			closed++
		}
	}
	return closed
}

// closeLongestUnused closes the clients' connections that have been unused longest, at most limit of them, and only while more
// than keep are unused. It records code, which says why, as the end code of each, and returns how many it closed.
func (s *Server) closeLongestUnused(limit, keep int, code string) (closed int) {
	// unusedConn is an unused connection of a client.
	type unusedConn struct {
		conn *conn
		// since is when the connection became unused.
		since time.Time
	}
	var unused []unusedConn
	for _, c := range s.openConns() {
		c.mu.Lock()
		if c.idle && c.endCode == "" {
			unused = append(unused, unusedConn{c, c.idleSince})
		}
		c.mu.Unlock()
	}
	slices.SortFunc(unused, func(a, b unusedConn) int { return a.since.Compare(b.since) })
	for _, u := range unused[:max(min(limit, len(unused)-keep), 0)] {
		// The connection may be in use again by now.
		if u.conn.closeWriteIfUnused(code, func() bool { return u.conn.idle }) {
			closed++
		}
	}
	return closed
}
