// Package routing connects clients and nodes: a Router accepts searches, lets the balance package decide which nodes to send
// their parts to, passes these attempts to the backends of the nodes, and answers each search from their results.
//
// Terms of this package:
//   - The broker, in comments on the router's decisions, is the balance.Broker that the router owns and calls (Router.broker).
//     "This broker", and "other brokers", are whole processes of the program.
//   - The broker's clock is the time that the router passes to it, in seconds: Unix time, read once when the router is made and
//     continued by the monotonic clock (Router.clockSeconds).
//   - A turn is one pass of the event loop of the router's goroutine: it runs queued functions, lets the broker decide, and
//     sends the attempts that the broker has decided on.
//   - The stage of a zone says how far the failover between zones has come for it: healthy, lost, or how far it has returned
//     from a loss.
//   - The settings in force are those of the deployment that was applied last (New, ApplySettings).
//   - Settings serve a search if they have its class, its dealer and all of its shards.
//   - The layout says how shards are spread over replica groups. The nodes of one replica group hold the same shards.
//   - The list of nodes is what discovery (the service that knows the nodes) sends: first complete, then as updates.
//   - A queued function is one that another goroutine has passed to the router's goroutine, through Router.callQueue.
//   - A deferred call is a function that the router's own goroutine puts off to the end of the turn, because it calls the
//     broker: most come up while the broker is calling the router, when it must not be called (Router.deferredCalls).
//   - A backend keeps the connections to the nodes of one protocol (frames or Flight), and sends attempts on them.
//   - An attempt is in flight from the broker's decision on it until the router knows that it has ended.
//   - To give an attempt up is to stop waiting for its result; its node may be notified of that (a cancellation). The attempt
//     has ended once its backend says so, at once or later.
//   - A further attempt is any attempt of a part but the first.
//   - A search is accepted when the router hands it to the broker, and in flight until its final answer or until its client
//     leaves. The broker may still reject it, to shed load.
//   - The SendPermission of a search is acquired before each write to a node that contains one of its attempts; once it is
//     withdrawn, no attempt of the search is written any more.
//   - A step is a set of parts that are answered together. Searches of some classes have a second step, which asks the
//     shards with the best scores in the first step again.
//   - A redelivery is the arrival of a request with the id of an earlier search, which may have run on nodes by then.
//   - A past search is a record that a search may have run, and when. It is kept for searches that are not idempotent: those
//     of non-idempotent classes, which must not run twice, and of idempotency-keyed ones.
//   - The repeat window of an idempotency-keyed class is the time in which nodes recognize and drop a repeat of a part.
//   - The allowance is this broker's share of the limits that are set for all brokers together, such as dealers' quotas.
package routing

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
	"brackenfront/replay"
	"brackenfront/zones"
)

// zoneChangeBuffer is the capacity of Router.ZoneChanges, in changes; further changes are dropped while it is full.
const zoneChangeBuffer = 64

// Router owns a balance.Broker and carries out its decisions. One goroutine handles all events, in turns; it blocks only on
// the queue of functions and on the timer.
type Router struct {
	// deployment holds the settings in force; only the router's goroutine uses it.
	deployment *protocol.Deployment
	// liveDeployment holds the same settings as deployment, for goroutines other than the router's own.
	liveDeployment atomic.Pointer[protocol.Deployment]
	// backends are the backend for nodes called by frames and, optionally, the one for nodes called by Flight, in this order.
	backends []NodeBackend
	// initialNodes is the list of nodes that Start applies.
	initialNodes protocol.DiscoveryUpdate
	// listGeneration is the DiscoveryUpdate.ListGeneration of the list of nodes in force; updates with another one are
	// ignored.
	listGeneration int
	// allowances provides this broker's share of what the settings state for all brokers together, such as quotas; nil if
	// all brokers have equal shares.
	allowances AllowanceSource
	// allowance is the newest allowance from allowances that was passed to the broker; nil before the first and after a
	// change of the settings.
	allowance *balance.Allowance
	// probeCoordinator shares health probes with other brokers: the router requests its probes from it, and probes a node
	// itself if the coordinator does not take the request or is nil.
	probeCoordinator ProbeCoordinator
	// startWatch subscribes to the list of nodes, on the broker's request; it does nothing unless SetWatchStarter has set
	// it.
	startWatch func()
	// callQueue is the queue of functions to run on the router's goroutine; other goroutines add to it, and wait while
	// it is full.
	callQueue chan func()
	// stop is closed to end the router's goroutine.
	stop chan struct{}
	// ended is closed once the router's goroutine has ended.
	ended chan struct{}
	// startTime is when the router was created.
	startTime time.Time
	// tick is the setting Settings.Tick, the unit of the broker's intervals, as a duration. The router waits for one tick after
	// a search's deadline for the broker's final answer, and for one tick before it aborts a write that has to end.
	tick time.Duration
	// startSeconds is startTime in seconds of Unix time. The broker's clock continues from it by the monotonic clock, so
	// that it never jumps.
	startSeconds float64

	// ready is set once a list of nodes that is not empty has arrived, and stays set. It is what Ready returns, by which health
	// checks and rolling restarts learn that this broker can route searches.
	ready atomic.Bool

	// broker decides to which nodes the parts are sent, and when.
	broker *balance.Broker
	// now is when the current turn began, in seconds of the broker's clock.
	now float64
	// turnTime is the same instant as now, as a time of the system's clock: the router compares it with deadlines and with the
	// times at which clients were last seen, which are such times, too.
	turnTime time.Time
	// wakeAt is when the broker wants the next turn to begin at the latest, in seconds of the broker's clock. The broker sets it
	// anew in turns, by WakeAt; 0 before the first time.
	wakeAt float64
	// timer fires at wakeAt and makes the router's goroutine begin a turn.
	timer *time.Timer
	// zoneIndexes maps the name of each zone to its index in calls to and from the broker.
	zoneIndexes map[string]int
	// nodeIndexes maps the name of each node to its index in calls to and from the broker. A node keeps its index after it has
	// left the list.
	nodeIndexes map[string]int
	// nodeAddrs are the hosts and ports at which the nodes are called; an index is a node's value in nodeIndexes.
	nodeAddrs []string
	// nodeBackends has, for each node, the backend that calls it; an index is a node's value in nodeIndexes.
	nodeBackends []NodeBackend
	// searchesBySlot are the searches, indexed by balance.Search.Slot: a small number that the broker gives to a search while it
	// tracks it, and to another one later. The entry of a number that is not in use still holds its former search.
	searchesBySlot []*activeSearch
	// searchesByID are the accepted searches, by id, that are in flight or still have attempts in flight.
	searchesByID map[string]*activeSearch
	// pastSearches holds, by the search's id, a record of each search that has ended, whose parts may have run on nodes, and
	// that would do harm if it ran again. Redelivered requests are checked against it.
	pastSearches *replay.Cache[balance.PastSearch]
	// partsInFlight are the parts that have an attempt in flight, in no particular order.
	partsInFlight []*activePart
	// batches holds, by the index of the node (nodeIndexes), the attempts that are passed to the node's backend at the end of
	// the current turn.
	batches [][]*parts.Attempt
	// batchNodes are the indexes of the nodes that have attempts in batches.
	batchNodes []int
	// searchesToAnswer are the searches whose final answer is set but not passed on yet: sendFinalAnswers passes the answers to
	// the callers of Search once the current call to the broker has returned.
	searchesToAnswer []*activeSearch
	// deferredCalls are the deferred calls that have not run yet, in the order in which they were added: reports that an attempt
	// has ended, or was not sent, and the parts of second steps. Only the router's goroutine adds to them, in the methods of
	// balance.Host, which the broker calls, in applyNodeUpdate and in sendBatches; finishTurn runs them.
	deferredCalls []func()
	// openCount is the number of searches in flight plus the number of their parts; the setting MaxInFlight limits it.
	openCount int
	// reportedStageChanges is the broker's count of changes of zones' stages when the changes were last reported to ZoneChanges.
	reportedStageChanges int
	// zoneStages maps the index of a zone (zoneIndexes) to the stage that was last reported for it to ZoneChanges, also if that
	// report was dropped; a zone without an entry was healthy so far.
	zoneStages map[int]zones.Stage
	// ZoneChanges receives the status of each zone whose stage has changed, for the log. Changes are dropped while its buffer is
	// full.
	ZoneChanges chan ZoneStatus
	// slowSearches reports the searches that waited for this process for long.
	slowSearches slowSearchReporter
	// counts are the current counts, except RecordedSearches, which the method Counts adds.
	counts Counts
}

// New creates a router with the settings in deployment and the list of nodes as last known, which Start applies. Other
// goroutines pass functions to the router through a queue with room for deployment.MaxInFlight of them, and block while it is
// full. The first backend sends to nodes that speak the frame protocol; an optional second one sends to nodes that speak
// Flight. Without it, nodes that speak Flight count as departed. The error is that of balance.New for invalid settings.
func New(deployment *protocol.Deployment, known protocol.DiscoveryUpdate, backends ...NodeBackend) (*Router, error) {
	now := time.Now()
	r := &Router{
		deployment:   deployment,
		backends:     backends,
		startWatch:   func() {},
		callQueue:    make(chan func(), deployment.MaxInFlight),
		stop:         make(chan struct{}),
		ended:        make(chan struct{}),
		startTime:    now,
		startSeconds: float64(now.UnixNano()) / 1e9,
		zoneIndexes:  map[string]int{deployment.LocalZone: 0},
		nodeIndexes:  map[string]int{},
		searchesByID: map[string]*activeSearch{},
		// The router's goroutine sets the timer before it waits for it.
		timer:       time.NewTimer(time.Hour),
		tick:        time.Duration(deployment.Settings.Tick * float64(time.Second)),
		zoneStages:  map[int]zones.Stage{},
		ZoneChanges: make(chan ZoneStatus, zoneChangeBuffer),
	}
	var err error
	if r.broker, err = balance.New(r, deployment.Settings); err != nil {
		return nil, err
	}
	r.initialNodes = known
	r.listGeneration = known.ListGeneration
	r.liveDeployment.Store(deployment)
	r.pastSearches = replay.New[balance.PastSearch](math.MaxInt, r.retentionSeconds(deployment))
	return r, nil
}

// ParseSearch parses a search from the path, header and body of an HTTP request under the settings in force; every error is
// a *protocol.InvalidFieldError.
func (r *Router) ParseSearch(path string, header http.Header, body []byte) (*protocol.Search, error) {
	return r.liveDeployment.Load().ParseSearch(path, header, body)
}

// SetWatchStarter sets the function that subscribes to the list of nodes; the router calls it when the broker requests the
// list. It must be called before Start, as the broker may do so while Start runs.
func (r *Router) SetWatchStarter(start func()) { r.startWatch = start }

// Start applies the list of nodes that New received and lets the broker act on it, on the caller's goroutine, and then starts
// the router's own goroutine.
func (r *Router) Start() {
	r.beginTurn()
	r.applyNodeUpdate(r.initialNodes)
	r.finishTurn()
	go r.run()
}

// Stop ends the router's goroutine and waits for its end. It must be called at most once.
func (r *Router) Stop() {
	close(r.stop)
	<-r.ended
}

// Ready reports whether a list of nodes that is not empty has arrived, so that searches can be served.
func (r *Router) Ready() bool { return r.ready.Load() }

// UpdateNodes queues an update of discovery, which is applied to the list of nodes. It blocks while the router's queue is
// full.
func (r *Router) UpdateNodes(update protocol.DiscoveryUpdate) {
	r.post(func() { r.applyNodeUpdate(update) })
}

// UpdateNodesAndWait is UpdateNodes, but returns once the update is applied. A caller that did not wait could fill the router's queue with
// updates at full speed, and searches would wait behind all of them.
func (r *Router) UpdateNodesAndWait(update protocol.DiscoveryUpdate) {
	applied := make(chan struct{})
	if !r.post(func() {
		r.applyNodeUpdate(update)
		close(applied)
	}) {
		return
	}
	select {
	case <-applied:
	case <-r.ended:
	}
}

// DiscoveryFailed notifies the broker that the list of nodes could not be fetched or that the subscription to it broke. It
// blocks while the router's queue is full.
func (r *Router) DiscoveryFailed() { r.post(r.broker.NodeListFailed) }

// post queues a function to run on the router's goroutine. It blocks while the queue is full. It returns true once the function
// is queued, and false if that goroutine has ended, so that the function will not run.
func (r *Router) post(call func()) bool {
	select {
	case r.callQueue <- call:
		return true
	case <-r.ended:
		return false
	}
}
