package faultcheck

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"brackenfront/internal/loopback"
)

// Sizes and bounds of a scenario.
const (
	// minSearches is the minimum number of searches of a scenario.
	minSearches = 48
	// maxSearches is the maximum number of searches of a scenario, even if a fault's InjectedFault.event takes long.
	maxSearches = 400
	// concurrentClients is how many clients deliver searches at once.
	concurrentClients = 8
	// searchesBeforeEvent is how many searches begin before the first event, that is, the first call of an InjectedFault.event, which
	// injects a fault while searches are in flight.
	searchesBeforeEvent = minSearches / 3
	// bytePositionsPerScenario is the distance between the first byte positions of the scenarios of two successive seeds, if a fault is
	// injected at each byte in turn. Each scenario certainly covers so many positions.
	bytePositionsPerScenario = 20
	// eventStartTimeout bounds the wait for searchesBeforeEvent searches to have begun; after it, the first event is called all the same.
	eventStartTimeout = 40 * time.Second
)

// scenarioRun is the state of a scenario while it runs.
type scenarioRun struct {
	// Case is the scenario that is run.
	Case
	// faults are the faults that the Case names.
	faults []InjectedFault
	// setting is the configuration that the brokers are started with.
	setting Setting
	// recorder records the history.
	recorder *recorder
	// client delivers all searches of the scenario.
	client *client
	// nodes are the stand-in nodes, ordered by replica group.
	nodes []*node
	// discovery is the stand-in for the discovery service.
	discovery *discovery
	// brokers are the brokers under test.
	brokers []*broker
	// configFolder is a temporary folder for the brokers' configurations.
	configFolder string
	// host is the loopback address that this scenario alone uses.
	host string
	// searchesDone is closed once no more searches begin.
	searchesDone chan struct{}
	// lag measures how late goroutines of this process are scheduled.
	lag schedulingLag

	// mu guards the fields below.
	mu sync.Mutex
	// searchesBegun is how many searches have begun.
	searchesBegun int
	// eventsOver is set once the functions InjectedFault.event of all faults have returned, or if no fault has one.
	eventsOver bool
	// injected is how often a fault was injected.
	injected int
	// nextBytePositionCalls is how often nextBytePosition was called; the next byte position follows from it.
	nextBytePositionCalls int
	// reachedBytes is the set of byte positions at which a fault was injected.
	reachedBytes map[int]bool
	// bytePositions is the number of bytes at which the case's fault can be injected; 0 if it is not injected at a byte.
	bytePositions int
	// milestones holds, by milestone, a channel that is closed once the milestone has been reached.
	milestones map[milestone]chan struct{}
	// nodeFailures holds, by search id, the name of the node failure that is injected for the search; "" for none. Each fault that sets a name
	// has a react function that says what nodes then do.
	nodeFailures map[string]string
	// eventErrors are the errors that the faults' functions InjectedFault.event returned.
	eventErrors []error
}

// random returns a random number generator whose numbers depend only on the scenario's seed and the values in purpose, which name the
// use, and not on the order of events.
func (r *scenarioRun) random(purpose ...any) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, purpose...)
	return rand.New(rand.NewPCG(r.Seed, h.Sum64()))
}

// RunScenario runs one scenario: it starts nodes, discovery and brokers, delivers searches and injects the faults meanwhile, ends
// everything, and checks the history. It may be called from several goroutines at once. The calling binary must hold the shipped
// program (see ProgramVariable).
func RunScenario(scenario Case) (result Result) {
	began := time.Now()
	result = Result{Case: scenario}
	// Each scenario has its own loopback address: on a shared one, another scenario's node could get the port of a node that is
	// unavailable, and with it that node's parts.
	r := &scenarioRun{
		Case:         scenario,
		host:         loopback.Host(),
		searchesDone: make(chan struct{}),
		reachedBytes: map[int]bool{},
		nodeFailures: map[string]string{},
		milestones:   map[milestone]chan struct{}{},
	}
	_, err := keepTimestamps()
	if err != nil {
		result.Err = err
		return result
	}
	if r.faults, err = scenario.findFaults(); err != nil {
		result.Err = err
		return result
	}
	r.setting = drawSetting(r.random("setting"), scenario.Effect)
	r.setting.SecondCopies = r.random("second copies").IntN(3) == 0
	for _, f := range r.faults {
		if f.adjustSetting != nil {
			f.adjustSetting(&r.setting)
		}
		// A fault without any other function consists of its setting alone.
		if f.adjustSetting != nil && f.react == nil && f.planConnection == nil && f.deliver == nil && f.event == nil {
			r.countInjection()
		}
	}
	r.recorder = newRecorder(r.setting.contract())
	r.client = newClient(r.recorder, r.setting)
	stopMeasuring := make(chan struct{})
	go r.lag.measure(stopMeasuring)
	defer close(stopMeasuring)
	err = r.start()
	if err == nil {
		r.deliverSearches()
	}
	err = errors.Join(err, r.stop(err == nil), errors.Join(r.eventErrors...))
	result.Setting, result.History, result.Err = r.setting, r.recorder.snapshot(), err
	result.Violations = Check(result.History)
	result.count()
	for _, b := range r.brokers {
		crashes, err := b.crashes()
		result.Crashes += crashes
		result.Err = errors.Join(result.Err, err)
	}
	result.Injected, result.ReachedBytes, result.BytePositions = r.injected, r.reachedBytes, r.bytePositions
	result.Duration = time.Since(began)
	result.MaxSchedulingLag = time.Duration(r.lag.overallMax.Load())
	return result
}

// start starts nodes, discovery and the brokers' processes, and waits until all brokers serve.
func (r *scenarioRun) start() (err error) {
	if r.configFolder, err = os.MkdirTemp("", "faultcheck"); err != nil {
		return err
	}
	for group := range r.setting.Groups {
		for k := range r.setting.NodesPerGroup {
			zone := ownZone
			if k%2 == 1 {
				zone = otherZone
			}
			n := newNode(r.recorder, r.host, fmt.Sprintf("s-%d-%d", group, k), zone, group)
			n.react = r.reactionTo
			n.planConnection = r.planConnection
			n.receiveBufferBytes = r.setting.ReceiveBufferBytes
			n.otherPendingID = r.otherPendingID
			n.awaitAttemptEnd = r.awaitAttemptEnd
			n.lag = &r.lag
			n.shrinkReceiveBuffer = r.setting.ShrinkReceiveBuffer
			r.nodes = append(r.nodes, n)
			if err := n.listenAgain(false); err != nil {
				return err
			}
		}
	}
	var listed []listedNode
	for _, n := range r.nodes {
		listed = append(listed, n.listing())
	}
	if r.discovery, err = newDiscovery(r.host, listed, r.recorder.nodesListed); err != nil {
		return err
	}
	started := make(chan error)
	for i := range r.setting.Brokers {
		b := &broker{
			name:             fmt.Sprintf("broker-%d", i),
			configFolder:     r.configFolder,
			host:             r.host,
			discoveryAddress: r.discovery.addr,
			knownNodes:       r.discovery.list,
			recorder:         r.recorder,
			setting:          r.setting,
		}
		r.brokers = append(r.brokers, b)
		go func() {
			_, err := b.start()
			started <- err
		}()
	}
	for range r.brokers {
		err = errors.Join(err, <-started)
	}
	return err
}

// stop ends all that was started, also after a failure. If graceful is set, processes are ended by SIGTERM, and connections to nodes that
// stay open are an error.
func (r *scenarioRun) stop(graceful bool) (err error) {
	r.client.close()
	ended := make(chan error)
	for _, b := range r.brokers {
		go func() { ended <- b.endAllProcesses(graceful) }()
	}
	for range r.brokers {
		err = errors.Join(err, <-ended)
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	// The processes have ended, so that all connections to nodes end, and no more data arrives.
	allClosed := r.recorder.waitUntil(endTimeout, func(*History) bool {
		for _, n := range r.nodes {
			if n.connectionCount() > 0 {
				return false
			}
		}
		return true
	})
	if graceful && !allClosed {
		err = errors.Join(err, errors.New("connections to nodes stay open though all processes have ended"))
	}
	for _, n := range r.nodes {
		n.close()
	}
	if r.configFolder != "" {
		os.RemoveAll(r.configFolder)
	}
	return err
}

// deliverSearches has concurrentClients clients deliver searches until no more are to begin, and calls the faults' functions
// InjectedFault.event meanwhile (runEvents). It returns when all of that has ended.
func (r *scenarioRun) deliverSearches() {
	var running sync.WaitGroup
	r.eventsOver = true
	for _, f := range r.faults {
		if f.event != nil {
			r.eventsOver = false
		}
	}
	if !r.eventsOver {
		running.Go(r.runEvents)
	}
	for range concurrentClients {
		running.Go(func() {
			for i, more := r.nextSearch(); more; i, more = r.nextSearch() {
				r.deliverSearch(i)
			}
		})
	}
	running.Wait()
	close(r.searchesDone)
}

// nextSearch returns the number of the next search; more is false if no further one is to begin.
func (r *scenarioRun) nextSearch() (number int, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.searchesBegun >= maxSearches || r.eventsOver && r.searchesBegun >= minSearches {
		return 0, false
	}
	r.searchesBegun++
	r.recorder.changed.Broadcast()
	return r.searchesBegun - 1, true
}

// runEvents calls the functions InjectedFault.event of the faults, one after the other, once searchesBeforeEvent searches have begun or
// eventStartTimeout has passed.
func (r *scenarioRun) runEvents() {
	r.recorder.waitUntil(eventStartTimeout, func(*History) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.searchesBegun >= searchesBeforeEvent
	})
	for _, fault := range r.faults {
		if fault.event == nil {
			continue
		}
		r.countInjection()
		if err := fault.event(r, r.random("event", fault.Name)); err != nil {
			r.mu.Lock()
			r.eventErrors = append(r.eventErrors, fmt.Errorf("%s: %w", fault.Name, err))
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventsOver = true
}
