// Package nodes is the backend for nodes that speak the framed protocol: it keeps connections to them, assigns calls to
// connections, and tells the owner of each attempt how it ended. The router decides which node gets which attempt.
//
// Terms of this package:
//   - A frame is one message of the framed protocol, in either direction: its length, a letter that says its kind, and the rest.
//   - A call is a frame to a node with the requests of one attempt or several, and also the group of these attempts.
//   - A connection carries a call from when the call is put into the connection's queue until its last attempt has ended.
//   - An attempt is in flight from when a write has included its frame until it has ended: it was answered, cancelled or lost
//     with its connection.
//   - A connection is unused if it is established, carries no call, awaits the answer to no probe, and has an empty queue.
//   - A connection is closing from the call of its method close until its goroutines have ended.
//   - A probe is a frame that asks a node whether it works.
//   - The owner of an attempt is the search that it belongs to (parts.Owner); it is called when the attempt has ended.
//   - An outcome says how an attempt ended (balance.Outcome).
//   - The id of a part is Attempt.ID. All attempts of the part have it, and a reply names its attempt by it alone.
//   - An answered id is the id of a part to which the node has replied on a connection.
//   - Bytes have left this machine when the system has sent them, that is, when none of them are in its send buffer any more.
//   - A close code is a word that says why a connection ended, for the log and for Counts.ClosedByCode.
//   - The connection limit is the most connections that this pool may have to one node; SetConnLimit sets it.
package nodes

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
)

// Limits are the deployment's settings of connections to nodes.
type Limits struct {
	// MaxCallsPerConn is how many calls a node lets one connection carry at once; it reads nothing more from a connection that
	// carries so many. With MayCancel a connection is therefore given one call less (hasCapacity).
	MaxCallsPerConn int
	// ConnectTimeout is how long a connection may take to be established, and a node to answer a probe.
	ConnectTimeout time.Duration
	// PeerIdleTimeout is the time after which the node may close an unused connection. This side closes it ConnectTimeout earlier.
	PeerIdleTimeout time.Duration
	// MaxWait is the longest time that a connection waits for the next frame of the node while a reply is awaited; then it is
	// closed.
	MaxWait time.Duration
	// MayCancel says that a cancellation frame may be sent to the node when an attempt is cancelled. If it is false, the node goes on
	// with the attempt, and its reply is dropped.
	MayCancel bool
	// DescriptorRetryPause is the time before dialling again where no file descriptor is free.
	DescriptorRetryPause time.Duration
	// RetryMaxQueueTime is for how long after the decision to send it a second or later attempt of a part may still be written to
	// the node; after that it ends with the outcome NotSent, and the router decides again. 0 stands for no bound.
	RetryMaxQueueTime time.Duration

	// Turns makes connections on which the node sends what nobody waits for take turns at the processor; nil for no such turns.
	Turns *turns.Scheduler
	// Dial opens the connections; where it is nil, parts.NodeDialer does, by TCP.
	Dial parts.DialFunc
}

// ConnPool holds the connections to all nodes. Its methods may be called from any goroutine, and none but Close waits for a
// socket.
type ConnPool struct {
	// currentLimits points to the limits in force, with a Dial that is not nil; SetLimits replaces them.
	currentLimits atomic.Pointer[Limits]
	// log gets a line for each connection that ends, and one for each frame that could not be used.
	log *logrus.Logger
	// ctx is cancelled by Close, which ends all dials in progress.
	ctx context.Context
	// stop cancels ctx.
	stop context.CancelFunc
	// goroutines counts the running goroutines of all connections, whose end Close waits for.
	goroutines sync.WaitGroup
	// reclaimDescriptors is called when no file descriptor is free. It closes up to most unused connections of the whole process
	// and returns how many it closed; SetCloseUnused sets it.
	reclaimDescriptors func(most int) int

	// connLimit is how many connections to one node this pool may have, 0 for any number; it is nil where there is never a limit.
	connLimit func() int
	// reportMostConns is called with the number of connections to the node that has the most of them; it is set together with
	// connLimit.
	reportMostConns func(most int)

	// mu guards the fields below, and those of all nodeConns, connections, calls and attempts.
	mu sync.Mutex
	// nodes holds the connections to each node, by the node's address (host:port).
	nodes map[string]*nodeConns
	// reportedMostConns is the number of connections that reportMostConns was last called with; 0 before its first call.
	reportedMostConns int
	// closeRequests is how many connections have been closed by their method close since the pool was made, including those that
	// have not ended yet.
	closeRequests int
	// counts are the totals that Counts returns.
	counts Counts
}

// Counts are totals over all connections of a ConnPool since it was made.
type Counts struct {
	// Dialled is how many connections the pool began to open.
	Dialled int
	// Closed is how many connections have ended, including dials that failed.
	Closed int
	// AttemptsWritten is how many attempts were included in a write, whether or not the write succeeded.
	AttemptsWritten int
	// AttemptsCancelled is how many attempts were cancelled that had been assigned to a connection.
	AttemptsCancelled int
	// Replies is how many frames with a reply to an attempt were received.
	Replies int
	// UnmatchedReplies is how many of the Replies named a part that has no attempt in flight on their connection, as after a
	// cancellation.
	UnmatchedReplies int
	// Probes is how many health probes were requested.
	Probes int
	// RejectedAtConnLimit is how many calls (frames with one or more attempts) were rejected because their node may have no further
	// connection.
	RejectedAtConnLimit int
	// BytesOut is how many bytes were written on the connections to nodes.
	BytesOut int64
	// BytesIn is how many bytes were read from the connections to nodes.
	BytesIn int64
	// ClosedByCode is how many connections ended with each close code, a word for the reason that is also in the log line.
	ClosedByCode map[string]int
}

// NewConnPool returns a pool without connections, which opens them as attempts and probes need them.
func NewConnPool(limits Limits, log *logrus.Logger) *ConnPool {
	p := &ConnPool{log: log, nodes: map[string]*nodeConns{}, reclaimDescriptors: func(int) int { return 0 }}
	p.counts.ClosedByCode = map[string]int{}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.SetLimits(limits)
	return p
}

// SetLimits replaces the limits; a Dial of nil stands for parts.NodeDialer. Connections that are open stay open, and use the new limits from
// their next call, write or deadline on.
func (p *ConnPool) SetLimits(limits Limits) {
	if limits.Dial == nil {
		limits.Dial = parts.NodeDialer(limits.ConnectTimeout)
	}
	p.currentLimits.Store(&limits)
}

// limits returns the limits in force, which the caller must not change.
func (p *ConnPool) limits() *Limits { return p.currentLimits.Load() }

// SetCloseUnused sets the function that closes up to most unused connections of the process where no file descriptor is free,
// and returns how many it closed. The function may be called from any goroutine. SetCloseUnused must be called before the pool
// is used.
func (p *ConnPool) SetCloseUnused(closeUnused func(most int) int) { p.reclaimDescriptors = closeUnused }

// SetConnLimit sets connLimit, which returns how many connections to one node this pool may have (0 for any number), and
// reportMostConns, which is called with the number of connections to the node that has the most of them. Both are called from
// any goroutine, must not wait, and must not call the pool. Where a node may have no further connection, a call is rejected
// before it is sent. SetConnLimit must be called before the pool is used.
func (p *ConnPool) SetConnLimit(connLimit func() int, reportMostConns func(most int)) {
	p.connLimit = connLimit
	p.reportMostConns = reportMostConns
}

// CloseExcess closes, for every node, unused connections until the node has no more than connLimit. It is to be called after the
// result of connLimit has fallen; connections that are in use and exceed the limit close when their last call ends.
func (p *ConnPool) CloseExcess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, node := range p.nodes {
		for _, conn := range slices.Clone(node.conns) {
			if conn.unused() && node.aboveConnLimit() {
				conn.close(codeExcess)
			}
		}
	}
}

// CloseIdleOrSilent closes connections to the node at addr (host:port): where silence is 0, those that are unused; where it is
// above 0, those on which a call was sent at least that long ago and no byte has come since, not even one that is still unread.
func (p *ConnPool) CloseIdleOrSilent(addr string, silence time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if node := p.nodes[addr]; node != nil {
		for _, conn := range slices.Clone(node.conns) {
			if silence == 0 && conn.unused() {
				conn.close(codeReplaced)
			} else if silence > 0 && !conn.unansweredSince.IsZero() && time.Since(conn.unansweredSince) >= silence && !conn.hasUnread() {
				conn.close(codeSilent)
			}
		}
	}
}

// CloseUnused closes up to most unused connections, the longest unused first, and returns how many it closed.
func (p *ConnPool) CloseUnused(most int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unused []*connection
	for _, node := range p.nodes {
		for _, conn := range node.conns {
			if conn.unused() {
				unused = append(unused, conn)
			}
		}
	}
	slices.SortFunc(unused, func(a, b *connection) int { return a.lastUsedAt.Compare(b.lastUsedAt) })
	unused = unused[:min(most, len(unused))]
	for _, conn := range unused {
		conn.close(codeReclaimed)
	}
	return len(unused)
}

// OpenConnections returns the number of connections that are open or being dialled. Those that are closing do not count: the
// caller closes connections to get below a limit, and would otherwise close more than needed.
func (p *ConnPool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts.Dialled - p.closeRequests
}

// Counts returns a copy of the totals.
func (p *ConnPool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.ClosedByCode = maps.Clone(p.counts.ClosedByCode)
	return counts
}

// Close closes all connections and waits until their goroutines have ended.
func (p *ConnPool) Close() {
	p.mu.Lock()
	p.stop()
	for _, node := range p.nodes {
		for _, conn := range slices.Clone(node.conns) {
			conn.close(codeStopped)
		}
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
