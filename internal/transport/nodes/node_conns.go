package nodes

import (
	"slices"
	"time"
)

// nodeConns holds the connections to the node at one address. The pool's lock guards it.
type nodeConns struct {
	// pool is the pool that the connections belong to.
	pool *ConnPool
	// addr is the node's address, as host:port.
	addr string
	// conns are the connections to the node that are open or being dialled, without those that are closing.
	conns []*connection
	// closing is how many connections to the node are closing: the method close was called for them, and they have not ended yet,
	// so that the node may still count them.
	closing int
	// awaitingReplaced is how many connections have not begun to dial, as those that they replace have not ended; see replace.
	awaitingReplaced int
}

// open adds a new connection to conns and starts its goroutine, which dials. The pool's lock must be held.
func (n *nodeConns) open() *connection {
	conn := n.add()
	go conn.run()
	return conn
}

// replace closes an unused connection and adds a new one in its place, which dials once the former one has ended, so that the
// node has no more connections than before at any time. The pool's lock must be held.
func (n *nodeConns) replace(former *connection) *connection {
	former.replacement = n.add()
	n.awaitingReplaced++
	former.close(codeReplaced)
	return former.replacement
}

// add adds a new connection to conns. Its goroutine, connection.run, is to be started by the caller or, as the pool waits for its
// end already, by a goroutine of the pool. The pool's lock must be held.
func (n *nodeConns) add() *connection {
	now := time.Now()
	conn := &connection{
		node:                n,
		wake:                make(chan struct{}, 1),
		inFlight:            map[string]*connAttempt{},
		cancelledUnanswered: map[string]time.Time{},
		createdAt:           now,
		lastUsedAt:          now,
	}
	n.conns = append(n.conns, conn)
	n.pool.counts.Dialled++
	n.pool.goroutines.Add(1)
	return conn
}

// connLimit returns how many connections to the node this pool may have, as the function given to SetConnLimit says; 0 for any
// number.
func (n *nodeConns) connLimit() int {
	if n.pool.connLimit == nil {
		return 0
	}
	return n.pool.connLimit()
}

// aboveConnLimit reports whether the node has more connections than connLimit, so that one of them must close. Those that are
// closing already do not count.
func (n *nodeConns) aboveConnLimit() bool {
	limit := n.connLimit()
	return limit > 0 && len(n.conns) > limit
}

// sockets returns how many connections the node may have by its own count: those that are being dialled, are open or are closing.
func (n *nodeConns) sockets() int {
	return len(n.conns) + n.closing - n.awaitingReplaced
}

// updateMostConns calls ConnPool.reportMostConns with the number of connections to the node that has the most of them, if that
// number has changed since the last call. Connections that are closing count. The pool's lock must be held.
func (p *ConnPool) updateMostConns() {
	if p.reportMostConns == nil {
		return
	}
	most := 0
	for _, node := range p.nodes {
		most = max(most, node.sockets())
	}
	if most != p.reportedMostConns {
		p.reportedMostConns = most
		p.reportMostConns(most)
	}
}

// connFor selects the connection for a new call to the node at addr. It considers the connections that have capacity, that the
// node is not about to close as idle, and on which no reply with the id of one of the call's parts is outstanding. Of those
// that have not answered one of the ids before, it takes the one with the most calls, so that few stay open; if there is none,
// it opens a new one. If the node may have no further connection, it replaces an unused one that has answered an id before, as a
// second reply to that id would end the new call's attempt; if there is none of these either, it returns nil.
func (p *ConnPool) connFor(addr string, newCall *call) *connection {
	node := p.nodes[addr]
	if node == nil {
		node = &nodeConns{pool: p, addr: addr}
		p.nodes[addr] = node
	}
	var best, replaceable *connection
	for _, conn := range node.conns {
		if !conn.hasCapacity() || !conn.safeFromIdleClose() || conn.carriesAnyOf(newCall) {
			continue
		}
		if conn.answeredIDs.containsAny(newCall) {
			if conn.unused() {
				replaceable = conn
			}
		} else if best == nil || conn.activeCalls > best.activeCalls {
			best = conn
		}
	}
	if best == nil {
		for _, conn := range slices.Clone(node.conns) {
			// Otherwise useless connections to a hanging node would accumulate.
			if conn.exhausted(time.Now()) {
				conn.close(codeExhausted)
			}
		}
		// A connection that is closing still counts at the node.
		if limit := node.connLimit(); limit > 0 && node.sockets() >= limit {
			if replaceable == nil {
				return nil
			}
			return node.replace(replaceable)
		}
		best = node.open()
		p.updateMostConns()
	}
	return best
}
