package balance

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// simulation is a Host in virtual time that records what the broker asks for and checks the broker's rules at every
// call: a part has at most one attempt in flight and no more than allowed in all, goes only to active holders of its
// shard, and does not run twice where that does harm; the retry budget and the capacity of cold nodes are kept; every
// search gets exactly one outcome, in time; answers have the parts that they need.
type simulation struct {
	// t is the test that fails when the broker breaks one of the rules that the simulation checks.
	t testing.TB
	// rapidT is the handle of a test with random events, which fails instead of t when the broker breaks a rule; nil in
	// other tests.
	rapidT *rapid.T
	// settings are the broker's settings in force, by which the simulation checks its calls.
	settings Settings
	// broker is the broker under test, whose Host the simulation is.
	broker *Broker
	// now is the virtual time in seconds; it begins at 1000.
	now float64
	// wakeAt is the virtual time in seconds for which the broker last asked for a turn; infinite if it has had that
	// turn.
	wakeAt float64
	// nodes are the entries of the node list, by the node's index.
	nodes []NodeEntry
	// partWork is the work of every part, in seconds, by which the load of cold nodes is checked. In tests with random
	// events it is also the reply time that is reported.
	partWork float64
	// nodeCapacity is the work, in seconds, that a warm node is taken to be able to process for this broker in one
	// overload window, by which the load of cold nodes is checked.
	nodeCapacity float64
	// sendTimes are, by node, the virtual times in seconds when parts were sent to it.
	sendTimes [][]float64
	// answerTimes are, by node, the virtual times in seconds when it answered parts.
	answerTimes [][]float64
	// searches are the simulation's records of the searches so far, in the order in which they were started.
	// answerAfter drops those that have ended and have no attempt in flight.
	searches []*simulatedSearch
	// requestTimes are the virtual times in seconds when searches and parts were taken in, for the check of the retry
	// budget.
	requestTimes []float64
	// retryTimes are the virtual times in seconds of the retries.
	retryTimes []float64
	// probesRequested are the indices of the nodes for which the broker asked for a probe whose result has not been
	// reported.
	probesRequested []int
	// closedQuietTime is the argument quiet, in seconds, of the last call of CloseConnections in which it was not 0; 0
	// if there was none.
	closedQuietTime float64

	// watchCount counts the broker's subscriptions to the node list (calls of WatchNodeList).
	watchCount int
	// idleCloses counts the calls of CloseConnections with quiet 0, which close unused connections.
	idleCloses int
	// sendCount counts the calls of Send, which are the attempts of all parts.
	sendCount int
	// cancelCount counts the cancelled attempts.
	cancelCount int
	// answerCount counts the searches that ended with an answer.
	answerCount int
	// rejectCount counts the rejected searches.
	rejectCount int
	// failCount counts the failed searches.
	failCount int
}

// simulatedSearch is the simulation's own record of a search, by which it checks what the broker does.
type simulatedSearch struct {
	// handle is the broker's handle of the search; nil until AddSearch has returned.
	handle *Search
	// class is the index of the search's class.
	class int
	// deadline is the virtual time in seconds by which the client must have an outcome.
	deadline float64
	// parts are the parts of all steps, by the index that AddPart returned.
	parts []*simulatedPart
	// stepStart is the index in parts of the first part of the current step: 0 in the first step, and the number of
	// parts of the first step in the second.
	stepStart int
	// ended says that the search has its final outcome, or that its client left.
	ended bool
	// answerCount counts the answers, one for each step.
	answerCount int
	// complete says that the last answer was marked complete.
	complete bool
	// retryAfter is the delay in seconds after which a rejection advised the client to repeat the search; 0 for no
	// advice.
	retryAfter float64
}

// simulatedPart is the simulation's own record of a part of a search, by which it checks what the broker does.
type simulatedPart struct {
	// shard is the index of the shard that the part searches.
	shard int
	// node is the index of the node that the newest attempt was sent to.
	node int
	// attempts counts the part's attempts so far.
	attempts int
	// weight is the part's share (0 to 1) of its step of the search.
	weight float64
	// sentAt is the virtual time in seconds when the newest attempt was sent.
	sentAt float64
	// mayHaveRunSince is the virtual time in seconds when the first attempt was sent that may have run, among those
	// that have ended; below 0 if there is none.
	mayHaveRunSince float64
	// inFlight says that an attempt has been sent and has not ended.
	inFlight bool
	// answered says that the part was answered while its step of the search was still in progress and the search had
	// not ended.
	answered bool
	// cancelled says that the broker cancelled the newest attempt; its end may not have been reported yet.
	cancelled bool
}

// newSimulation returns a simulation of one broker with these settings, at the virtual time 1000 s, after a first turn
// in which the broker got the list of nodes. A part has 0.05 s of work, and a warm node is taken to process 0.4 s of
// work for the broker in one overload window.
func newSimulation(t testing.TB, settings Settings, nodes []NodeEntry) *simulation {
	sim := &simulation{t: t, settings: settings, now: 1000, nodes: nodes, partWork: 0.05, nodeCapacity: 0.4,
		sendTimes: make([][]float64, len(nodes)), answerTimes: make([][]float64, len(nodes))}
	broker, err := New(sim, settings)
	if err != nil {
		t.Fatal(err)
	}
	sim.broker = broker
	sim.runTurn(func() { broker.UpdateNodes(true, nodes) })
	return sim
}

// defaultSettings returns settings with one idempotent class, and four nodes in two replica groups: nodes 0 and 2 hold
// the even shards, 1 and 3 the odd ones; all are in zone 1, which is not the broker's own. The latency target is 1 s,
// the clients' timeout 4 s.
func defaultSettings() (Settings, []NodeEntry) {
	settings := Settings{
		Seed:             7,
		Brokers:          1,
		Tick:             0.005,
		Groups:           2,
		GroupsPerShard:   1,
		Shards:           4,
		MaxPartsPerCall:  1,
		MaxAttempts:      3,
		CanCancel:        true,
		CanProbe:         true,
		WarmupTime:       10,
		WarmupStartShare: 0.2,
		OverloadWindow:   1,
		OverloadMultiple: 2,
		Classes: []SearchClass{{LatencyTarget: 1, Timeout: 4, Utility: 1, CompleteShare: 1, MinShare: 1,
			RepeatWindow: 1}},
	}
	var nodes []NodeEntry
	for i := range 4 {
		nodes = append(nodes, NodeEntry{Node: i, Group: i % 2, Zone: 1, ZoneRank: 1})
	}
	return settings, nodes
}

// newDefaultSimulation returns a simulation with the settings of defaultSettings and the first nodeCount nodes of its
// list.
func newDefaultSimulation(t testing.TB, nodeCount int) *simulation {
	settings, nodes := defaultSettings()
	return newSimulation(t, settings, nodes[:nodeCount])
}

// fatalf fails the test at once, with a message that begins with the virtual time in seconds.
func (sim *simulation) fatalf(format string, args ...any) {
	sim.t.Helper()
	text := fmt.Sprintf("at %.3f: ", sim.now) + fmt.Sprintf(format, args...)
	if sim.rapidT != nil {
		sim.rapidT.Fatal(text)
	}
	sim.t.Fatal(text)
}

// runTurn runs one turn of the broker at the present virtual time, in which event reports to the broker what has
// happened. It checks that no search is without an outcome at its deadline.
func (sim *simulation) runTurn(event func()) {
	sim.broker.BeginTurn(sim.now)
	event()
	sim.broker.EndTurn()
	for _, search := range sim.searches {
		if !search.ended && sim.now >= search.deadline {
			sim.fatalf("a search has no outcome at its deadline")
		}
	}
}

// applySettings makes the broker apply other settings, in a turn in which nothing else happens. The search classes of
// the new settings must be those of the old ones, in the same order.
func (sim *simulation) applySettings(settings Settings) {
	sim.settings = settings
	sim.runTurn(func() {
		if err := sim.broker.ApplySettings(settings); err != nil {
			sim.fatalf("valid settings are refused: %v", err)
		}
	})
}

// advance moves the virtual time on by a number of seconds, and runs a turn whenever the broker asked for one.
func (sim *simulation) advance(seconds float64) {
	for end := sim.now + seconds; ; sim.runTurn(func() {}) {
		if sim.wakeAt > end {
			sim.now = end
			return
		}
		sim.now = max(sim.now, sim.wakeAt)
		sim.wakeAt = math.Inf(1)
	}
}

// startSearch runs a turn in which a search of a class (an index) is taken in, with one part for each shard, all of
// equal weight. timeLeft is the time in seconds that its client waits.
func (sim *simulation) startSearch(class int, timeLeft float64, shards ...int) *simulatedSearch {
	search := &simulatedSearch{class: class, deadline: sim.now + timeLeft}
	sim.searches = append(sim.searches, search)
	sim.runTurn(func() {
		search.handle = sim.broker.AddSearch(class, -1, timeLeft, 0)
		sim.requestTimes = append(sim.requestTimes, sim.now)
		sim.addParts(search, shards)
	})
	return search
}

// addParts adds a part of equal weight for each shard (an index) to a search, at the broker and in the simulation's
// record. It must be called within a turn.
func (sim *simulation) addParts(search *simulatedSearch, shards []int) {
	for _, shard := range shards {
		search.parts = append(search.parts,
			&simulatedPart{shard: shard, weight: 1 / float64(len(shards)), mayHaveRunSince: -1})
		sim.requestTimes = append(sim.requestTimes, sim.now)
		search.handle.AddPart(shard, 1/float64(len(shards)))
	}
}

// endAttempt runs a turn in which the newest attempt of a part is reported as ended with an outcome, after the time
// since it was sent; for answers in tests with random events, after partWork instead. If that answers the first of two
// steps, a further turn adds the parts of the second.
func (sim *simulation) endAttempt(search *simulatedSearch, partIndex int, outcome Outcome) {
	part := search.parts[partIndex]
	part.inFlight = false
	if outcome == OK {
		sim.answerTimes[part.node] = append(sim.answerTimes[part.node], sim.now)
		part.answered = part.answered || !search.ended && partIndex >= search.stepStart
	}
	if outcome != Overloaded && outcome != Unreachable && outcome != NotSent && part.mayHaveRunSince < 0 {
		part.mayHaveRunSince = part.sentAt
	}
	took := sim.now - part.sentAt
	if outcome == OK && sim.rapidT != nil {
		// With random events the reply times follow from the true work of a part.
		took = sim.partWork
	}
	sim.runTurn(func() { search.handle.AttemptEnded(partIndex, outcome, took) })
	sim.addSecondStep(search)
}

// addSecondStep runs a turn that adds the parts of the second step to a search whose first step was just answered, if
// its class has one: two parts, for the shards of the search's first two.
func (sim *simulation) addSecondStep(search *simulatedSearch) {
	if class := sim.settings.Classes[search.class]; class.FetchParts > 0 && search.answerCount == 1 &&
		search.stepStart == 0 && !search.ended {
		search.stepStart = len(search.parts)
		sim.runTurn(func() { sim.addParts(search, []int{search.parts[0].shard, search.parts[1].shard}) })
	}
}

// findSearch returns the simulation's record of the newest search that has the given handle, or that has none yet
// because its AddSearch has not returned.
func (sim *simulation) findSearch(handle *Search) *simulatedSearch {
	for i := len(sim.searches) - 1; i >= 0; i-- {
		if sim.searches[i].handle == handle || sim.searches[i].handle == nil {
			return sim.searches[i]
		}
	}
	sim.fatalf("the broker names a search that was never started")
	return nil
}
