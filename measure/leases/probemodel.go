package main

import (
	"fmt"
	"slices"

	"brackenfront/balance"
	"brackenfront/healthprobes"
	"brackenfront/internal/virtualtime"
	"brackenfront/random"
)

const (
	// updateDelay is how long an update, a message about the probes of a node, takes from one broker to another by way of the council's
	// leader, in seconds.
	updateDelay = 0.004
	// nodeCount is the number of nodes that the brokers of the model send parts to.
	nodeCount = 40
	// outageStart is when the first node becomes unavailable, in seconds from the start of the model.
	outageStart = 10.0
	// countFrom is the time from which the probes and parts sent to the unavailable node are counted, in seconds from the start of the model:
	// all brokers know of the outage by then.
	countFrom = 20
	// modelEnd is when the model ends, in seconds from its start.
	modelEnd = 110.0
	// probeDelay is how long a probe takes from its sending to its result, in seconds.
	probeDelay = 0.002
)

// probeModel is a model in virtual time of brokers that send health probes to a node which is unavailable for a while. The
// decision module (balance) and the tracker of shared probes (healthprobes) are the production code; events simulate what the
// goroutines of the fleet do, and updates between brokers take some milliseconds.
type probeModel struct {
	// Clock has the model's time, in seconds, and calls the functions that are due.
	virtualtime.Clock
	// random is the source of the random times and shards of searches and of the durations of attempts.
	random random.Source
	// brokers are the brokers of the model.
	brokers []*modelBroker
	// shared says that the first broker probes the first node for all brokers.
	shared bool
	// unavailable reports whether the first node is unavailable for the broker, given by its index in brokers, at the model's present time.
	// run sets it; before that, the node is available.
	unavailable func(broker int) bool
	// probes is the number of probes that brokers sent to the first node, from countFrom on, while it was unavailable for them.
	probes int
	// countFrom is the time from which probes and parts are counted, in the model's seconds: the constant of that name.
	countFrom float64
	// parts is the number of parts that brokers sent to the first node, from countFrom on, while it was unavailable for them.
	parts int
	// searches is the number of all searches so far, and answers the number of those that were answered.
	searches, answers int
}

// modelBroker is one broker of the model. It implements the interface by which its decision module (balance) sends parts and probes.
type modelBroker struct {
	// model is the model that the broker belongs to.
	model *probeModel
	// index is the index of the broker in model.brokers.
	index int
	// module is the broker's decision module.
	module *balance.Broker
	// tracker decides which probes of the first node this broker sends, if probes are shared.
	tracker *healthprobes.Tracker
	// waiting says that module has requested a probe of the first node, while probes are shared, and has not yet got its result.
	waiting bool
	// wakeAt is the time for which module has last asked, by a call of WakeAt, to be run even if no event comes, in the model's seconds.
	wakeAt float64
	// learnedAt is when a probe first told the broker that the first node is available, in the model's seconds; 0 if none has yet. run sets
	// it to 0 again until the outage has ended for the last broker.
	learnedAt float64
	// attempts holds, by search and by the part's index, the number of attempts of the part that have begun plus the number that have ended.
	// It changes when an attempt ends, also by a cancellation, so that an end that was scheduled for the same attempt is ignored.
	attempts map[*balance.Search]map[int]int
}

// newProbeModel makes a model of a number of brokers, in which every node is available. If shared is set, the first broker probes the
// first node for all brokers. seed is the seed of the model's random numbers.
func newProbeModel(brokers int, shared bool, seed uint64) *probeModel {
	m := &probeModel{shared: shared, countFrom: countFrom, unavailable: func(int) bool { return false }}
	m.random.Seed(seed)
	for i := range brokers {
		b := &modelBroker{model: m, index: i, attempts: map[*balance.Search]map[int]int{}}
		rnd := &random.Source{}
		rnd.Seed(seed + uint64(1000*i))
		b.tracker = healthprobes.New(fmt.Sprint("b", i), rnd)
		b.tracker.SetZoneProber(i == 0)
		settings := balance.Settings{Seed: seed + uint64(i), Brokers: brokers, Tick: 0.005, Groups: 10, GroupsPerShard: 1, Shards: 20, MaxPartsPerCall: 1, MaxAttempts: 3, CanCancel: true,
			CanProbe: true, WarmupTime: 10, WarmupStartShare: 0.2, OverloadWindow: 1, OverloadMultiple: 3,
			Classes: []balance.SearchClass{{LatencyTarget: 1, Timeout: 4, Utility: 1, CompleteShare: 1, MinShare: 1, RepeatWindow: 1}}}
		module, err := balance.New(b, settings)
		if err != nil {
			panic(err)
		}
		b.module = module
		var nodes []balance.NodeEntry
		for n := range nodeCount {
			nodes = append(nodes, balance.NodeEntry{Node: n, Group: n % 10})
		}
		b.turn(func() { module.UpdateNodes(true, nodes) })
		m.brokers = append(m.brokers, b)
		m.After(m.random.Float64(), b.addSearch)
	}
	return m
}

// turn runs the broker's decision module once, at the model's present time: f gives the module its events, such as ends of attempts, and
// the module then decides what to send. Methods of the module and of its searches may be called only within f.
func (b *modelBroker) turn(f func()) {
	b.module.BeginTurn(b.model.Now)
	f()
	b.module.EndTurn()
}

// addSearch gives the decision module a new search with one part at each of four successive shards, and schedules the next search
// 40 to 160 ms later.
func (b *modelBroker) addSearch() {
	b.model.searches++
	b.turn(func() {
		search := b.module.AddSearch(0, -1, 4, 0)
		first := int(b.model.random.Float64() * 20)
		for k := range 4 {
			search.AddPart((first+k)%20, 0.25)
		}
	})
	b.model.After(0.04+0.12*b.model.random.Float64(), b.addSearch)
}

// Send begins an attempt of a part of a search at a node, both given by index. The attempt ends with success after 10 to 50 ms, or
// after 1 ms as unreachable if the node is the first one and is unavailable for this broker.
func (b *modelBroker) Send(search *balance.Search, part, node int, _ float64) {
	seconds, outcome := 0.01+0.04*b.model.random.Float64(), balance.OK
	if node == 0 && b.model.unavailable(b.index) {
		seconds = 0.001
		outcome = balance.Unreachable
		if b.model.Now >= b.model.countFrom {
			b.model.parts++
		}
	}
	if b.attempts[search] == nil {
		b.attempts[search] = map[int]int{}
	}
	b.attempts[search][part]++
	number := b.attempts[search][part]
	b.model.After(seconds, func() { b.endAttempt(search, part, number, outcome, seconds) })
}

// endAttempt notifies the decision module that an attempt of a part has ended with an outcome after a number of seconds. It does
// nothing if number, the value of b.attempts when the attempt began, is out of date because the attempt has ended before.
func (b *modelBroker) endAttempt(search *balance.Search, part, number int, outcome balance.Outcome, seconds float64) {
	if b.attempts[search][part] != number {
		return
	}
	b.attempts[search][part]++
	b.turn(func() { search.AttemptEnded(part, outcome, seconds) })
}

// Cancel ends the running attempt of a part of a search, given by its index, as cancelled.
func (b *modelBroker) Cancel(search *balance.Search, part, _ int) {
	number := b.attempts[search][part]
	b.model.After(0, func() { b.endAttempt(search, part, number, balance.Cancelled, 0.001) })
}

// Answer is called by the decision module when a search is answered, and counts it.
func (b *modelBroker) Answer(*balance.Search, bool) { b.model.answers++ }

// Reject is called by the decision module when it rejects a search. It does nothing: the model counts answers only.
func (b *modelBroker) Reject(*balance.Search, float64) {}

// Fail is called by the decision module when a search fails. It does nothing: the model counts answers only.
func (b *modelBroker) Fail(*balance.Search) {}

// CloseConnections is called by the decision module to close connections to a node. It does nothing: the model has none.
func (b *modelBroker) CloseConnections(int, float64) {}

// WatchNodeList is called by the decision module to get changes of the list of nodes. It does nothing: the list does not change.
func (b *modelBroker) WatchNodeList() {}

// WakeAt is called by the decision module to be run at a time. At the time at, in the model's seconds, it runs the module once, without
// events, unless the module has called WakeAt with another time by then.
func (b *modelBroker) WakeAt(at float64) {
	b.wakeAt = at
	b.model.After(max(at-b.model.Now, 0), func() {
		if b.wakeAt == at {
			b.turn(func() {})
		}
	})
}

// Probe probes a node for the decision module. If probes are shared, the tracker decides whether this broker probes the first node; all other
// nodes are available.
func (b *modelBroker) Probe(node int) {
	if node != 0 {
		b.model.After(probeDelay, func() { b.turn(func() { b.module.ProbeEnded(node, true) }) })
		return
	}
	if !b.model.shared {
		b.probeFirstNode(b.probeEnded)
		return
	}
	b.waiting = true
	b.model.After(0, func() { b.applyDecision(b.tracker.RequestProbe(b.model.Now, "n0")) })
}

// probeFirstNode sends a probe to the first node and calls done with its result after probeDelay; ok says that the node answered.
func (b *modelBroker) probeFirstNode(done func(ok bool)) {
	ok := !b.model.unavailable(b.index)
	if !ok && b.model.Now >= b.model.countFrom {
		b.model.probes++
	}
	b.model.After(probeDelay, func() { done(ok) })
}

// probeEnded gives the decision module the result of a probe of the first node, and sets learnedAt; ok says that the node answered.
func (b *modelBroker) probeEnded(ok bool) {
	if ok && b.learnedAt == 0 {
		b.learnedAt = b.model.Now
	}
	b.turn(func() { b.module.ProbeEnded(0, ok) })
}

// answerModule gives the decision module the result of a probe of the first node, if the module waits for one; ok says that the node
// answered.
func (b *modelBroker) answerModule(ok bool) {
	if b.waiting {
		b.waiting = false
		b.probeEnded(ok)
	}
}

// applyDecision carries out a decision of the tracker: it probes the first node, or gives the decision module the result that the tracker
// assumes. Then it sends the tracker's updates.
func (b *modelBroker) applyDecision(decision healthprobes.Decision) {
	switch decision {
	case healthprobes.ProbeNow:
		b.probeFirstNode(func(ok bool) {
			b.tracker.RecordResult(b.model.Now, "n0", ok)
			b.answerModule(ok)
			b.sendUpdates()
		})
	case healthprobes.AssumeUp, healthprobes.AssumeDown:
		b.answerModule(decision == healthprobes.AssumeUp)
	}
	b.sendUpdates()
}

// sendUpdates sends the tracker's updates to the other brokers; a request for a probe goes to the first broker only. If the tracker
// waits for the probe of another broker, this broker sends the probe itself once that is overdue.
func (b *modelBroker) sendUpdates() {
	for _, update := range slices.Clone(b.tracker.TakeUpdates()) {
		for _, other := range b.model.brokers {
			if other != b && (update.Kind != healthprobes.ProbeWanted || other.index == 0) {
				b.model.After(updateDelay, func() { other.applyDecision(other.tracker.HandleUpdate(other.model.Now, update)) })
			}
		}
	}
	if _, ok, dueAt := b.tracker.NextOverdue(b.model.Now); ok {
		b.applyDecision(healthprobes.ProbeNow)
	} else if dueAt < 1e9 {
		b.model.After(dueAt-b.model.Now+1e-6, func() {
			if _, ok, _ := b.tracker.NextOverdue(b.model.Now); ok {
				b.applyDecision(healthprobes.ProbeNow)
			}
		})
	}
}

// run runs the model with the first node unavailable from outageStart until availableAt, which takes a broker's index and returns the
// time, in the model's seconds, from which that broker reaches the node again. run returns the probes a second that were sent to the node
// from countFrom on until it is available for the last broker, the sorted delays in seconds after which the brokers learned that it is
// available again, and the share (0 to 1) of searches that were answered. A broker that never learned it has the delay modelEnd; brokers
// for which the node is not available before modelEnd are left out of the delays.
func (m *probeModel) run(availableAt func(broker int) float64) (probesPerSecond float64, delays []float64, answeredShare float64) {
	m.unavailable = func(broker int) bool { return m.Now >= outageStart && m.Now < availableAt(broker) }
	firstAvailable := availableAt(len(m.brokers) - 1)
	for m.Step(modelEnd) {
		if m.Now < firstAvailable {
			for _, b := range m.brokers {
				b.learnedAt = 0
			}
		}
	}
	for _, b := range m.brokers {
		if availableAt(b.index) < modelEnd && b.learnedAt > 0 {
			delays = append(delays, b.learnedAt-availableAt(b.index))
		} else if availableAt(b.index) < modelEnd {
			delays = append(delays, modelEnd)
		}
	}
	slices.Sort(delays)
	return float64(m.probes) / (firstAvailable - m.countFrom), delays, float64(m.answers) / float64(m.searches)
}
