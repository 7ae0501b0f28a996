package faultcheck

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// node is a stand-in for a node. It records every attempt whose frame it received completely, and how the attempt ended. The stand-ins of
// internal/standin read frames by the program's own code and keep no account of attempts, so they cannot be used to check it.
type node struct {
	// host is the loopback address that the node listens at, which its scenario alone uses.
	host string
	// recorder records the attempts.
	recorder *recorder
	// name is the node's name in discovery's list.
	name string
	// zone is the zone that discovery lists the node in.
	zone string
	// group is the replica group that the node belongs to.
	group int
	// react returns what the node does with an attempt; earlierOfPart counts the earlier attempts of the part at any node.
	react func(n *node, request partRequest, earlierOfPart int) reaction
	// planConnection returns whether and how the node ends an accepted connection, given how many the node accepted before; nil ends
	// none.
	planConnection func(n *node, acceptedBefore int) connectionPlan
	// otherPendingID returns the part's id of an attempt that is in flight on another connection than c; "" if there is none.
	otherPendingID func(c *nodeConnection) string
	// lag measures how late goroutines of this process are scheduled. The ends of connections, which have no timestamp, are dated earlier
	// by that time.
	lag *schedulingLag
	// awaitAttemptEnd waits until no attempt of the part with this id is pending on any connection to a node, or until a bound on the
	// time. c is the connection on which a further attempt of the part has arrived (see scenarioRun.awaitAttemptEnd).
	awaitAttemptEnd func(c *nodeConnection, id string)
	// receiveBufferBytes is how many unread bytes the system buffers per connection; 0 for the system's default.
	receiveBufferBytes int
	// shrinkReceiveBuffer applies receiveBufferBytes only once a connection is accepted, which shrinks the receive window that was
	// already advertised.
	shrinkReceiveBuffer bool
	// stop is closed by close, at the scenario's end.
	stop chan struct{}
	// goroutines counts the running goroutines that the node has started, for which close waits.
	goroutines sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// addr is the host and port that the node listens at; "" before it has listened.
	addr string
	// listener accepts connections; nil before the node has listened.
	listener net.Listener
	// openConnections is the set of the connections that have not ended.
	openConnections map[*nodeConnection]bool
	// acceptedCount is how many connections were accepted so far.
	acceptedCount int
	// silenceOver, if set, is a channel; attempts that arrive are not answered before it is closed.
	silenceOver <-chan struct{}
	// readResumed is set by stopReading, and closed and set to nil by resumeReading; the connections read only while it is nil.
	readResumed chan struct{}
	// backlog, if set, is the full accept queue that keeps new connections from being established.
	backlog *fullBacklog
	// partRequests is how often brokers have sent this node a part, by the part's id, as far as a fault counts them by countPartRequest.
	partRequests map[string]int
}

// newNode returns a node that does not listen yet; listenAgain makes it listen.
func newNode(recorder *recorder, host, name, zone string, group int) *node {
	return &node{
		recorder:        recorder,
		host:            host,
		name:            name,
		zone:            zone,
		group:           group,
		stop:            make(chan struct{}),
		openConnections: map[*nodeConnection]bool{},
		partRequests:    map[string]int{},
	}
}

// countPartRequest counts a request to this node for the part with this id, and returns how many there were, including this one.
func (n *node) countPartRequest(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partRequests[id]++
	return n.partRequests[id]
}

// listing returns the node's entry in discovery's list.
func (n *node) listing() listedNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return listedNode{Host: n.name, Dial: n.addr, Zone: n.zone, Class: "k", Group: n.group, Health: healthActive, Weight: 1}
}

// rebindTimeout bounds the wait for an address that was just released: a process that another scenario of this process is starting holds
// a copy of each file descriptor until it executes its own program.
const rebindTimeout = 2 * time.Second

// listen listens at an address and accepts connections. An address that is still in use is tried again for up to rebindTimeout.
func (n *node) listen(addr string) error {
	config := net.ListenConfig{Control: n.setReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	for end := time.Now().Add(rebindTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(socketPollInterval)
		listener, err = config.Listen(context.Background(), "tcp", addr)
	}
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listener, n.addr = listener, listener.Addr().String()
	n.mu.Unlock()
	n.goroutines.Go(func() { n.accept(listener) })
	return nil
}

// setReceiveBuffer limits to receiveBufferBytes how many unread bytes the system buffers on each connection that a listener accepts, from
// the first byte on. It is called by net.ListenConfig with the listener's socket, raw.
func (n *node) setReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	if n.receiveBufferBytes == 0 || n.shrinkReceiveBuffer {
		return nil
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n.receiveBufferBytes)
	})
	return errors.Join(controlErr, err)
}

// accept serves each connection that comes to a listener until the listener is closed.
func (n *node) accept(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		if n.receiveBufferBytes > 0 && n.shrinkReceiveBuffer {
			accepted.(*net.TCPConn).SetReadBuffer(n.receiveBufferBytes)
		}
		timestamped, err := newTimestampedConn(accepted.(*net.TCPConn))
		if err != nil {
			accepted.Close()
			continue
		}
		n.mu.Lock()
		connection := &nodeConnection{
			timestampedConn: timestamped,
			node:            n,
			name:            fmt.Sprintf("%s/%d", n.name, n.acceptedCount),
			pending:         map[int]string{},
			endedByID:       map[string]int{},
			absences:        []arrival{{at: n.lag.earliestTime()}},
		}
		acceptedBefore := n.acceptedCount
		n.acceptedCount++
		n.openConnections[connection] = true
		n.mu.Unlock()
		if n.planConnection != nil {
			connection.plan = n.planConnection(n, acceptedBefore)
		}
		n.goroutines.Go(connection.serve)
	}
}

// refuseConnections stops listening, so that new connections are refused, and resets the open ones, as when a process dies.
func (n *node) refuseConnections() {
	n.mu.Lock()
	if n.listener != nil {
		n.listener.Close()
	}
	n.mu.Unlock()
	for _, c := range n.connections() {
		c.reset()
	}
}

// listenAgain listens at the node's previous address, or at a new one if newAddress is set or there is no previous one.
func (n *node) listenAgain(newAddress bool) error {
	n.mu.Lock()
	addr := n.addr
	n.mu.Unlock()
	if newAddress || addr == "" {
		addr = net.JoinHostPort(n.host, "0")
	}
	return n.listen(addr)
}

// stopReading has the node read nothing until resumeReading.
func (n *node) stopReading() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.readResumed == nil {
		n.readResumed = make(chan struct{})
	}
}

// resumeReading makes the node read again after stopReading.
func (n *node) resumeReading() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.readResumed != nil {
		close(n.readResumed)
		n.readResumed = nil
	}
}

// close ends the node and waits for all that it has started.
func (n *node) close() {
	close(n.stop)
	n.resumeReading()
	n.releaseBacklog()
	n.refuseConnections()
	n.goroutines.Wait()
}

// connectionCount returns how many connections are open.
func (n *node) connectionCount() int { return len(n.connections()) }

// connections returns the open connections.
func (n *node) connections() (open []*nodeConnection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.openConnections {
		open = append(open, c)
	}
	return open
}

// setSilence leaves attempts that arrive from now on unanswered until the channel over is closed, which silenceEnd then returns; nil ends
// that.
func (n *node) setSilence(over <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenceOver = over
}

// silenceEnd returns the channel that must be closed before an attempt that arrives now is answered; nil if there is none.
func (n *node) silenceEnd() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silenceOver
}
