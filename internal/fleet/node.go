package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/fleet/wire"
	"brackenfront/lease"
)

// Node is this process's broker as a member of the fleet. Its exported methods may be called from any goroutine.
type Node struct {
	// config is the configuration that was passed to Start.
	config Config
	// environment provides clock, network, disk and random numbers.
	environment Environment
	// keys are the fleet's keys, which ReloadKeys replaces.
	keys *wire.Keys
	// log is the logger of the process, for everything that the node logs.
	log *logrus.Logger
	// processID is the random identity of this process, which distinguishes it from an earlier process of the same
	// broker.
	processID [16]byte
	// listener accepts connections of other brokers; nil if this broker has no address to listen at.
	listener net.Listener
	// member is this broker's membership of the council; nil if it is not one of the council's brokers.
	member *member
	// client is this process's lease session with the council, with its connection to a member.
	client *sessionClient
	// stop cancels the context that all goroutines of the node run under.
	stop context.CancelFunc
	// goroutines counts the goroutines that shutDown waits for.
	goroutines sync.WaitGroup

	// mu guards conns, handshakes, counts, runningTasks and lastTurn.
	mu sync.Mutex
	// conns is the set of connections past their handshake, at most maxConns.
	conns map[*wire.Conn]bool
	// handshakes is the number of accepted connections whose handshake is not done.
	handshakes int
	// counts holds how often each event has occurred since the node's start, by the event's name, such as "lease lost".
	counts map[string]int64
	// activeTasks is the number of calls of RunTask whose tasks wait for their lease or run.
	activeTasks atomic.Int64
	// runningTasks holds the names of tasks whose functions have not returned.
	runningTasks map[string]bool
	// lastTurn records the last order of a rolling restart that takeTurn carried out or failed to carry out.
	lastTurn turnRecord
	// turnMutex is locked while takeTurn handles an order, so that orders are handled one at a time.
	turnMutex sync.Mutex
	// prober handles requests for health probes; nil if health probes are not shared.
	prober *zoneProber
	// budgets is this process's side of the fleet's budgets; nil if they are not divided between the brokers.
	budgets *budgetClient
}

// Start joins the fleet and starts the node's goroutines, which Close ends. It returns an error if the keys cannot be
// read, or the listener or the council's directory cannot be opened.
func Start(config Config, environment Environment, log *logrus.Logger) (*Node, error) {
	keys, err := wire.ReadKeys(config.KeyFile)
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:       config,
		environment:  environment,
		keys:         keys,
		log:          log,
		conns:        map[*wire.Conn]bool{},
		counts:       map[string]int64{},
		runningTasks: map[string]bool{},
	}
	environment.Random(n.processID[:])
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	if config.InCouncil() {
		if n.member, err = n.newMember(); err != nil {
			stop()
			return nil, err
		}
	}
	if config.Listen != "" {
		if n.listener, err = environment.Listen(config.Listen); err != nil {
			stop()
			if n.member != nil {
				n.member.store.Close()
			}
			return nil, fmt.Errorf("fleet: %w", err)
		}
		n.goroutines.Go(func() { n.acceptConns(ctx) })
	}
	if n.member != nil {
		n.goroutines.Go(func() { n.member.run(ctx) })
	}
	n.client = n.newSessionClient()
	if config.SharedBudgets {
		n.budgets = newBudgetClient(n, n.client.session)
	}
	if config.SharedHealthProbes {
		n.prober = n.newZoneProber()
		n.goroutines.Go(func() { n.prober.run(ctx) })
		n.goroutines.Go(func() { n.runElectedTask(ctx, probeLeasePrefix+config.Zone, n.prober.probeForZone) })
	}
	n.goroutines.Go(func() { n.client.run(ctx) })
	if config.ReportFile != "" {
		n.goroutines.Go(func() { n.runElectedTask(ctx, reportLease, n.writeReports) })
	}
	if config.SharedBudgets && n.member != nil {
		n.goroutines.Go(func() { n.runElectedTask(ctx, lease.BudgetsLease, n.defineBudgets) })
	}
	if config.RollingRestarts && n.member != nil {
		n.goroutines.Go(func() { n.runElectedTask(ctx, planLease, n.leadRollingRestarts) })
	}
	return n, nil
}

// Addr returns the address at which the node listens; empty if it does not listen.
func (n *Node) Addr() string {
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr().String()
}

// ReloadKeys reads the key file again. Established connections keep the keys of their handshakes.
func (n *Node) ReloadKeys() error { return n.keys.Read(n.config.KeyFile) }

// Close leaves the fleet. It cancels the running tasks and waits for them within ctx, then releases all leases, and
// transfers the council's leadership if this broker has it. Leases that are not released by the end of ctx expire.
func (n *Node) Close(ctx context.Context) {
	n.client.close(ctx)
	if n.member != nil {
		n.member.transferLeadership(ctx)
	}
	n.shutDown()
}

// shutDown ends all connections and goroutines at once, without releasing leases, and waits for the goroutines.
func (n *Node) shutDown() {
	n.stop()
	if n.listener != nil {
		n.listener.Close()
	}
	n.mu.Lock()
	for c := range n.conns {
		c.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// countEvent adds one to the count of the event with the given name, such as "lease lost"; Counts returns these counts.
func (n *Node) countEvent(event string) {
	n.mu.Lock()
	n.counts[event]++
	n.mu.Unlock()
}

// Counts returns how often each event, such as "lease lost", has occurred in this process since the node's start, by the event's
// name. The caller may change the map.
func (n *Node) Counts() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	copied := make(map[string]int64, len(n.counts))
	for event, number := range n.counts {
		copied[event] = number
	}
	return copied
}

// state returns this broker's present BrokerState, for reports and rolling restarts.
func (n *Node) state() BrokerState {
	state := BrokerState{
		ProcessID: n.processID,
		Counters:  map[string]int64{},
		Ready:     n.config.Local.Ready == nil || n.config.Local.Ready(),
	}
	if n.config.Local.Counters != nil {
		state.Counters = n.config.Local.Counters()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state.LastPlanID = n.lastTurn.planID
	state.Failure = n.lastTurn.failure
	return state
}

// hello returns the hello by which this broker describes itself in a handshake. purpose is what a connection that
// it dials is for; 0 on the accepting side.
func (n *Node) hello(purpose wire.ConnPurpose) wire.Hello {
	hello := wire.Hello{Purpose: purpose, Broker: n.config.Broker, Process: n.processID, ListenAddr: n.config.Listen}
	if n.member != nil {
		n.member.fillHello(&hello)
	}
	return hello
}
