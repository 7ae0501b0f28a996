package main

import (
	"fmt"
	"slices"

	"brackenfront/budget"
	"brackenfront/internal/virtualtime"
	"brackenfront/lease"
	"brackenfront/random"
)

// Times of the model, in seconds of virtual time.
const (
	// leaseTTL is the time to live of leases: one second, so that times in seconds are also multiples of the TTL.
	leaseTTL = 1.0
	// messageDelay is how long each message between a broker and the council takes, in seconds.
	messageDelay = 0.003
	// demandInterval is the time between two calls of broker.serveClients, in seconds: how often a broker's clients request units.
	demandInterval = 0.01
	// endTime is when the model ends, in seconds of the model's time.
	endTime = 24.0
	// eventTime is when the event of a scenario happens, such as the loss of brokers, in seconds of the model's time.
	eventTime = 12.0
)

// Values of model.division: the ways in which the model divides a budget among brokers.
const (
	// evenDivision means that each broker has an equal share: the budget divided by the number of brokers.
	evenDivision = "one in all"
	// councilDivision means that the council divides the budget by what the clients of each broker request, with the code that the
	// program itself uses (packages lease and budget).
	councilDivision = "divided"
	// sharedBucket means that all brokers spend from one token bucket without delay: the best possible division, for comparison.
	sharedBucket = "all-knowing"
)

// slotsPerSecond is the number of time slots in a second; the model counts requested and spent units for each slot.
const slotsPerSecond = 10

// model is a model of a fleet in virtual time that shares one budget, a rate of 1,000 units a second. The council's agreed state,
// the sessions and the allowances are the code that the program itself uses; messages take some milliseconds, and the clients of each
// broker request units at given rates.
type model struct {
	// Clock has the model's time, in seconds, and calls the functions that are due.
	virtualtime.Clock
	// random draws the clients' demand and the times of their first requests.
	random random.Source
	// spec is the specification of the budget.
	spec budget.Spec
	// division is how the budget is divided: evenDivision, councilDivision or sharedBucket.
	division string
	// state is the state that the council's members agree on: the sessions, leases and shares of budgets.
	state *lease.State
	// brokers are the brokers of the fleet.
	brokers []*broker
	// sessionIDs is the number of session IDs that were generated, from which the next one is made.
	sessionIDs uint64
	// demand returns the rate, in units a second, at which the clients of the broker with index i request units at the time at, in
	// seconds. The clients of a broker that is down send their requests to the others. The caller of newModel sets it before run.
	demand func(i int, at float64) float64
	// requestedUnits is the number of units that clients requested; the index is the time slot, of 1/slotsPerSecond seconds, from time 0 on.
	requestedUnits []float64
	// spentUnits is the number of units that all brokers spent; the index is the time slot, of 1/slotsPerSecond seconds, from time 0 on.
	spentUnits []float64
	// calls is the number of calls of all sessions to the council so far, and bytes the total size of these calls and their answers.
	calls, bytes int
	// shared is the one allowance from which all brokers spend if division is sharedBucket.
	shared *budget.Allowance
	// excess is the largest number of units that all brokers together had spent beyond the budget at any time, as counted with a token
	// bucket that is full at first and gets spec.Total a second up to spec.Burst; 0 if they never exceeded it.
	excess float64
	// level is the number of units in the token bucket that excess is counted with, at the time levelAt in seconds; negative while more
	// than the budget has been spent.
	level, levelAt float64
}

// broker is one broker of the model.
type broker struct {
	// model is the model that the broker belongs to.
	model *model
	// index is the index of the broker in model.brokers.
	index int
	// down says that the broker does not run: the faults of a scenario set it, and start clears it.
	down bool
	// incarnation is the number of starts of the broker so far, by which events that were scheduled before its last start are ignored.
	incarnation int
	// session is the broker's session with the council, a new one for each start.
	session *lease.Session
	// allowances hold the broker's shares of budgets and what it spent of them, with the division councilDivision; new with each start.
	allowances *lease.Allowances
	// pendingUnits is the number of units that clients requested and that the broker has not tried to spend yet; after each call of
	// serveClients it is less than 1.
	pendingUnits float64
	// evenShare holds the broker's share and what it spent of it, with the division evenDivision; new with each start.
	evenShare *budget.Allowance
	// wakeAt is when the session next has a call to send to the council, in seconds of the model's time. A run of runSession that was
	// scheduled for another time is ignored.
	wakeAt float64
}

// newModel makes a model, in virtual time, of brokerCount brokers that all start at once and share a rate budget of 1,000 units a second.
// division says how that is divided among them: evenDivision, councilDivision or sharedBucket. seed is the seed of the random numbers.
// The caller sets demand before it calls run.
func newModel(brokerCount int, division string, seed uint64) *model {
	total := 1000 * budget.Unit
	m := &model{
		division:       division,
		spec:           budget.Spec{Kind: budget.Rate, Total: total, Burst: int64(brokerCount+100) * budget.Unit, Floor: total / 10 / int64(brokerCount), MaxBrokers: brokerCount},
		requestedUnits: make([]float64, int(endTime*slotsPerSecond)+1),
		spentUnits:     make([]float64, int(endTime*slotsPerSecond)+1),
	}
	m.random.Seed(seed)
	config := lease.DefaultConfig()
	config.TTL = leaseTTL
	m.state = lease.NewState(config, 1)
	m.Now = 2 * leaseTTL
	m.state.Apply(lease.Command{Time: m.Now})
	m.shared = budget.NewAllowance(m.spec, 0, m.Now)
	m.level = float64(m.spec.Burst) / float64(budget.Unit)
	m.levelAt = m.Now
	for i := range brokerCount {
		b := &broker{model: m, index: i}
		m.brokers = append(m.brokers, b)
		b.start()
		m.After(demandInterval*m.random.Float64(), b.serveClients)
	}
	return m
}

// start starts the broker, or restarts it, with a new session with the council.
func (b *broker) start() {
	m := b.model
	b.down = false
	b.incarnation++
	b.session = lease.NewSession(fmt.Sprint("b", b.index), "", func() (id lease.ID) {
		m.sessionIDs++
		copy(id[:], fmt.Sprintf("%016d", m.sessionIDs))
		return id
	})
	b.session.KeepOpen()
	b.allowances = lease.NewAllowances(b.session, 0.01)
	b.allowances.Open(m.Now, "q", m.spec)
	b.evenShare = budget.NewAllowance(m.spec, 0, m.Now)
	b.runSession(b.incarnation)
}

// runSession sends the next call of the broker's session to the council, if one is due, and schedules itself for the next time when
// one is. The first broker also defines the budget once it holds the lease for that. incarnation is the
// value of b.incarnation when the call was scheduled: it does nothing if the broker has been restarted since, or is down.
func (b *broker) runSession(incarnation int) {
	if b.down || incarnation != b.incarnation {
		return
	}
	m := b.model
	if b.index == 0 {
		b.session.Acquire(lease.BudgetsLease, 1, 3600)
		if _, _, ok := b.session.Holds(m.Now, lease.BudgetsLease); ok && len(m.state.Pools()) == 0 {
			b.session.DefineBudget("q", &m.spec)
		}
	}
	b.allowances.Update(m.Now)
	if call, ok := b.session.NextCall(m.Now, false); ok {
		m.calls++
		m.bytes += len(lease.Encode(call))
		m.After(messageDelay, func() {
			answer := m.state.Apply(lease.Command{Time: m.Now, Calls: []lease.Call{call}})[0]
			m.bytes += len(lease.Encode(answer))
			m.notifySessions()
			m.After(messageDelay, func() {
				if incarnation == b.incarnation && !b.down {
					b.session.HandleAnswer(m.Now, answer)
					b.session.TakeEvents()
					b.runSession(incarnation)
				}
			})
		})
	}
	dueAt := max(b.session.NextDue(), m.Now+1e-4)
	if dueAt < 1e9 {
		b.wakeAt = dueAt
		m.After(dueAt-m.Now, func() {
			if b.wakeAt == dueAt {
				b.runSession(incarnation)
			}
		})
	}
}

// notifySessions makes each session for which the last calls have changed something, such as its share, call the council after
// messageDelay.
func (m *model) notifySessions() {
	for _, id := range slices.Clone(m.state.TakeSessionsToNotify()) {
		for _, b := range m.brokers {
			if b.session.ID() == id {
				incarnation := b.incarnation
				m.After(messageDelay, func() {
					if incarnation == b.incarnation {
						b.session.CallSoon()
						b.runSession(incarnation)
					}
				})
			}
		}
	}
}

// serveClients spends the units that the broker's clients have requested since its last call, as far as the broker's share allows, and
// schedules the next call. The demand of brokers that are down is divided evenly among those that run.
func (b *broker) serveClients() {
	m := b.model
	m.After(demandInterval, b.serveClients)
	if b.down {
		return
	}
	running, demandOfDown := 0, 0.0
	for i, other := range m.brokers {
		if other.down {
			demandOfDown += m.demand(i, m.Now)
		} else {
			running++
		}
	}
	b.pendingUnits += (m.demand(b.index, m.Now) + demandOfDown/float64(running)) * demandInterval * (0.5 + m.random.Float64())
	for ; b.pendingUnits >= 1; b.pendingUnits-- {
		slot := min(int(m.Now*slotsPerSecond), len(m.requestedUnits)-1)
		m.requestedUnits[slot]++
		if b.spendUnit() {
			m.spentUnits[slot]++
			m.level = min(m.level+float64(m.spec.Total)/float64(budget.Unit)*(m.Now-m.levelAt), float64(m.spec.Burst)/float64(budget.Unit)) - 1
			m.levelAt = m.Now
			m.excess = max(m.excess, -m.level)
		}
	}
}

// spendUnit spends one unit of the budget if the broker's share, as the model's division determines it, allows that, and returns whether
// it did.
func (b *broker) spendUnit() bool {
	m := b.model
	switch m.division {
	case evenDivision:
		b.evenShare.SetShare(m.Now, m.spec.Total/int64(len(m.brokers))-m.spec.Floor, 1e9)
		return b.evenShare.Spend(m.Now)
	case sharedBucket:
		m.shared.SetShare(m.Now, m.spec.Divisible(0), 1e9)
		m.shared.SetSpec(m.Now, budget.Spec{Kind: budget.Rate, Total: m.spec.Total, Burst: m.spec.Burst, MaxBrokers: 1})
		m.shared.SetShare(m.Now, m.spec.Total, 1e9)
		return m.shared.Spend(m.Now)
	default:
		return b.allowances.Spend(m.Now, "q")
	}
}

// run runs the model's events until endTime.
func (m *model) run() {
	for m.Step(endTime) {
	}
}

// spentBetween returns the number of units that all brokers spent between two times of the model, in seconds, which are rounded down to
// slots of 1/slotsPerSecond.
func (m *model) spentBetween(from, to float64) (units float64) {
	for slot := int(from * slotsPerSecond); slot < int(to*slotsPerSecond); slot++ {
		units += m.spentUnits[slot]
	}
	return units
}
