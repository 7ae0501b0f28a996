package fleet

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
	"brackenfront/lease"
)

const (
	// idleWait is the setting of the member's timer while the replica has nothing due. Every event sets the timer again.
	idleWait = time.Hour
	// minDueWait is the shortest setting of the member's timer, so that a due time in the past cannot make the loop spin.
	minDueWait = time.Millisecond
	// transferTicks is the time, in ticks (of Config.Tick), that transferLeadership waits for its message to reach the new leader.
	transferTicks = 3
)

// member is this broker's membership of the council: its disk, its Raft replica of the council's state and its connections to
// the other members. One goroutine, run, owns all fields except those that mu guards; others reach it through do.
type member struct {
	// node is this process's Node.
	node *Node
	// calls holds the functions that other goroutines have queued by do and that run has yet to call, at most
	// maxQueuedCalls.
	calls chan func()
	// done is closed when run has ended, so that it takes no more calls.
	done chan struct{}
	// store is the member's disk.
	store *council.Store
	// replica is the member's Raft replica of the council's state.
	replica *council.Replica
	// peers are the sending sides of the connections to the other members, by broker name.
	peers map[string]*peer
	// inbound holds the brokers that have a connection to this member, by name; at most maxInboundPeers. Each has its
	// connections, the newest last: a broker may connect again before the end of its earlier connection is noticed.
	inbound map[string][]*inboundPeer
	// disks holds, by storage id, the last known state of the disk of each broker that has connected as a peer. It has at most
	// maxKnownDisks entries.
	disks map[uint64]diskRecord
	// openedWriteCount is the write count of this member's disk when this process opened it.
	openedWriteCount uint64
	// pending holds the clients' requests that were passed to the replica and have no reply yet. The key is the number
	// that the member gave to the replica with the request, and that the replica's reply repeats.
	pending map[uint64]pendingRequest
	// lastHandle is the key of pending that was assigned last; each request that is passed to the replica gets the next
	// number.
	lastHandle uint64
	// subscribers holds, by the ID of a lease session, the client connection that is notified when a lease is granted to
	// the session, or when the session should make its next call soon.
	subscribers map[lease.ID]*clientConn
	// healthUpdateReaders is the set of client connections that have subscribed to health updates of nodes; at most
	// maxConns.
	healthUpdateReaders map[*clientConn]bool
	// ticks is the number of periods of config.Tick that run has counted since its start.
	ticks int
	// foundingReadyTicks counts the ticks for which this member could have founded the council without a break (foundCouncil).
	foundingReadyTicks int
	// nextFoundingWarning is the earliest time, by Environment.Now, at which refuseFounding logs its warning again.
	nextFoundingWarning float64
	// loggedLeaderDisk is the storage id of the council's leader when the leader was last logged; 0 if there was none.
	loggedLeaderDisk uint64
	// ctx is the context of run. Peers run under it, because they outlive the connections for which they are started.
	ctx context.Context

	// mu guards hello, status and failed, which other goroutines read or set.
	mu sync.Mutex
	// hello holds the fields of this broker's hello in handshakes that describe the member's disk; the others are zero.
	hello wire.Hello
	// status is the member's status as publish last computed it.
	status *MemberStatus
	// failed is the error of the disk or of Raft with which run ended, while the Node runs on without this member; nil
	// before.
	failed error
}

// newMember opens the member's disk and creates the member; the caller has to start run. It returns an error if the disk cannot
// be opened or read.
func (n *Node) newMember() (*member, error) {
	m := &member{
		node:                n,
		calls:               make(chan func(), maxQueuedCalls),
		done:                make(chan struct{}),
		peers:               map[string]*peer{},
		inbound:             map[string][]*inboundPeer{},
		disks:               map[uint64]diskRecord{},
		pending:             map[uint64]pendingRequest{},
		subscribers:         map[lease.ID]*clientConn{},
		healthUpdateReaders: map[*clientConn]bool{},
	}
	if err := m.open(); err != nil {
		return nil, err
	}
	m.publish()
	return m, nil
}

// open opens the member's disk and starts a replica from its contents. It is called at the start, and again after retireDisk has
// set an old copy aside. It returns an error if the disk cannot be opened or read.
func (m *member) open() error {
	storage, aside, err := m.node.environment.Open(m.node.config.CouncilDir)
	if err != nil {
		return err
	}
	if aside {
		m.node.countEvent("disk put aside")
		m.node.log.WithField("dir", m.node.config.CouncilDir).Warn("fleet: the folder of the seat is a copy: put aside, it joins as a new disk")
	}
	if m.store, err = council.OpenStore(storage); err == nil {
		m.replica, err = council.NewReplica(m.store, raftLog{m.node.log})
	}
	if err != nil {
		storage.Close()
		return err
	}
	m.openedWriteCount = m.store.WriteCount()
	m.refreshHello()
	return nil
}

// refreshHello copies the storage id of the member's disk, whether it is blank and its write counts into hello, for the
// handshakes of later connections.
func (m *member) refreshHello() {
	m.mu.Lock()
	m.hello = wire.Hello{StorageID: m.store.Disk(), StorageBlank: m.store.Blank(), WriteCount: m.store.WriteCount(), WriteCountAtOpen: m.openedWriteCount}
	m.mu.Unlock()
}

// fillHello sets the fields of h that describe the disk. Any goroutine may call it.
func (m *member) fillHello(h *wire.Hello) {
	m.mu.Lock()
	h.StorageID, h.StorageBlank, h.WriteCount, h.WriteCountAtOpen = m.hello.StorageID, m.hello.StorageBlank, m.hello.WriteCount, m.hello.WriteCountAtOpen
	m.mu.Unlock()
}

// do queues f for the member's goroutine and returns without waiting for it to run. It returns false if the goroutine or
// ctx has ended first.
func (m *member) do(ctx context.Context, f func()) bool {
	select {
	case m.calls <- f:
		return true
	case <-m.done:
	case <-ctx.Done():
	}
	return false
}

// run is the member's goroutine. It ends with ctx, or when the disk or Raft fails: the broker then continues as a client.
func (m *member) run(ctx context.Context) {
	err := m.loop(ctx)
	for _, p := range m.peers {
		p.cancel()
	}
	if err != nil && ctx.Err() == nil {
		m.node.countEvent("seat failed")
		m.node.log.WithError(err).Error("fleet: the seat in the council is over until a new start; searches go on")
		m.mu.Lock()
		m.failed = err
		m.mu.Unlock()
	}
	close(m.done)
	if err := m.store.Close(); err != nil {
		m.node.log.WithError(err).Warn("fleet: the council store could not be closed")
	}
	m.failPending()
}

// failPending discards the queued calls and replies to the requests in pending with the error council.ErrNotLeader, so
// that their callers ask another member.
func (m *member) failPending() {
	for {
		select {
		case <-m.calls:
		default:
			for _, request := range m.pending {
				request.conn.queueReply(clientReply{Handle: request.handle, Err: council.ErrNotLeader.Error()})
			}
			return
		}
	}
}

// loop handles events until ctx ends, for which it returns nil. The Raft library panics if an invariant of its log is
// violated; loop returns that as an error, so that it ends the member and not the process.
func (m *member) loop(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("council: %v", r)
		}
	}()
	tick := time.NewTicker(m.node.config.Tick)
	defer tick.Stop()
	due := time.NewTimer(idleWait)
	defer due.Stop()
	m.ctx = ctx
	m.updatePeers()
	for {
		select {
		case f := <-m.calls:
			f()
			m.drainCalls()
		case <-tick.C:
			m.ticks++
			m.replica.Tick()
			m.manageMembership()
		case <-due.C:
		case <-ctx.Done():
			return nil
		}
		if err := m.processTurn(); err != nil {
			return err
		}
		due.Reset(m.untilDue())
	}
}

// drainCalls runs the queued calls, but at most maxQueuedCalls of them, so that ticks are not delayed for long.
func (m *member) drainCalls() {
	for range maxQueuedCalls {
		select {
		case f := <-m.calls:
			f()
		default:
			return
		}
	}
}

// processTurn makes the replica process all messages from members, requests of clients and clock ticks that it was given since
// the previous call of processTurn. It then sends the messages and replies that result, and updates hello, which describes the
// disk to other brokers. loop calls it after each event. It returns an error if the replica could not read or write its disk.
func (m *member) processTurn() error {
	// The clock is read after all calls have been passed to the replica; Replica.ProcessTurn gives the reason.
	now := m.node.environment.Now()
	out, err := m.replica.ProcessTurn(now)
	if err != nil {
		return err
	}
	m.deliver(out)
	m.replica.ClearOutput()
	m.refreshHello()
	return nil
}

// untilDue returns the time after which processTurn has to be called even if no event comes; idleWait if the replica
// has nothing due.
func (m *member) untilDue() time.Duration {
	seconds := m.replica.NextTurnDelay(m.node.environment.Now())
	if math.IsInf(seconds, 1) {
		return idleWait
	}
	return max(time.Duration(seconds*float64(time.Second)), minDueWait)
}

// transferLeadership transfers the council's leadership to another member, so that the council does not have to wait for
// an election timeout. It returns transferTicks after its request, or earlier if ctx ends; at once if the member's goroutine
// has ended already.
func (m *member) transferLeadership(ctx context.Context) {
	requested := make(chan struct{})
	if !m.do(ctx, func() {
		m.replica.TransferLeadership()
		close(requested)
	}) {
		return
	}
	select {
	case <-requested:
	case <-m.done:
	case <-ctx.Done():
	}
	// Leaves time for the message that transfers the leadership.
	select {
	case <-time.After(transferTicks * m.node.config.Tick):
	case <-ctx.Done():
	}
}
