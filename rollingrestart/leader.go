package rollingrestart

import (
	"fmt"
	"slices"
)

// minEndedSearches is the number of searches that must have ended, since the last comparison, before the share of successes
// is compared with MinSuccessShare, so that a few failures do not stop a rolling restart.
const minEndedSearches = 50

// Observation is what the broker that leads a rolling restart has just learned of another broker, or of itself.
type Observation struct {
	// Responded is true if the broker answered when the leader last asked for its state. If it is false, the other fields mean
	// nothing.
	Responded bool
	// Process is the 16-byte id of the broker's current process.
	Process [16]byte
	// Ready is true if the broker accepts searches.
	Ready bool
	// LastPlanID is the ID of the plan whose order the process last carried out or, for a restart, began to carry out, even
	// if that failed; 0 for none, as in a new process.
	LastPlanID uint64
	// Failure says why the process could not carry out that order; empty if it could.
	Failure string
	// Succeeded is the number of searches that succeeded since the process started.
	Succeeded int64
	// Ended is the number of searches that succeeded, were rejected or failed since the process started.
	Ended int64
}

// Leader carries out a plan. The caller stores the plan in the council whenever it has changed, and only then sends the pending
// orders. A Leader is not safe for concurrent use.
type Leader struct {
	// ownBroker is the name of the broker that leads the rolling restart and runs this Leader.
	ownBroker string
	// plan is the plan as this leader last changed it with Apply or Advance, stored in the council or not.
	plan Plan
	// pendingSince holds, by the broker's name, the time in seconds at which this leader first saw that the broker's turn
	// is in progress, or that the broker does not accept searches. The entry is deleted once the broker is ready and its
	// turn not in progress.
	pendingSince map[string]float64
	// lastObserved holds the last observation of each broker that has answered, by the broker's name.
	lastObserved map[string]Observation
	// endedSearches counts the searches that ended since the share of successes was last compared with MinSuccessShare. A
	// broker's searches count only between two observations of the same process.
	endedSearches int64
	// succeededSearches counts those of endedSearches that succeeded.
	succeededSearches int64
}

// NewLeader returns a Leader that continues a plan which another leader may have left. ownBroker is the name of the broker
// that leads: its turn comes last.
func NewLeader(ownBroker string, plan Plan) *Leader {
	return &Leader{ownBroker: ownBroker, plan: plan, pendingSince: map[string]float64{}, lastObserved: map[string]Observation{}}
}

// Plan returns the plan as it stands, which later calls of Apply and Advance change. The caller must not change its turns.
func (l *Leader) Plan() *Plan { return &l.plan }

// forgetObservations drops what was observed of brokers so far, and since when each broker's turn has been in progress,
// because a plan begins, resumes or is reverted.
func (l *Leader) forgetObservations() {
	clear(l.pendingSince)
	clear(l.lastObserved)
	l.endedSearches = 0
	l.succeededSearches = 0
}

// Advance updates the plan by what was just observed of its brokers (observed, by the broker's name), at the time now in
// seconds: it ends and starts turns, and stops or completes the rolling restart. It returns true if the plan has changed. A
// broker without an entry counts as one that has not responded. The caller calls it again and again while the plan is
// unfinished.
func (l *Leader) Advance(now float64, observed map[string]Observation) (changed bool) {
	plan := &l.plan
	if !plan.Unfinished() {
		return false
	}
	stop := func(format string, args ...any) {
		if plan.Stage == StageRunning {
			plan.Stage = StageStopped
			plan.StopReason = fmt.Sprintf(format, args...)
			changed = true
		}
	}
	l.countSearches(observed)
	// A broker is out of service while its turn is in progress or has failed, and while it does not accept searches.
	outOfService, votersOut := 0, 0
	for i := range plan.Turns {
		turn := &plan.Turns[i]
		if turn.State == TurnSkipped {
			continue
		}
		broker := observed[turn.Broker]
		up := broker.Responded && broker.Ready
		if turn.State == TurnInProgress || turn.State == TurnFailed {
			switch {
			case up && (broker.Process != turn.Process || plan.Action == ReloadSettings && broker.LastPlanID == plan.ID && broker.Failure == ""):
				turn.State = TurnDone
				turn.Reason = ""
				changed = true
				if turn.Repeat {
					turn.State = TurnWaiting
					turn.Repeat = false
				}
				delete(l.pendingSince, turn.Broker)
			case turn.State == TurnInProgress && broker.Responded && broker.Process == turn.Process && broker.LastPlanID == plan.ID && broker.Failure != "":
				turn.State = TurnFailed
				turn.Reason = broker.Failure
				changed = true
			case turn.State == TurnInProgress && l.timedOut(now, turn.Broker):
				turn.State = TurnFailed
				turn.Reason = fmt.Sprintf("its turn was not done within %v s", plan.TimeoutSeconds)
				changed = true
			}
		}
		if turn.State == TurnFailed {
			stop("%s: %s", turn.Broker, turn.Reason)
		}
		if turn.State == TurnInProgress || turn.State == TurnFailed || !up {
			outOfService++
			if turn.Voter {
				votersOut++
			}
		}
		if up && turn.State != TurnInProgress {
			delete(l.pendingSince, turn.Broker)
		} else if !up && turn.State != TurnInProgress && l.timedOut(now, turn.Broker) {
			stop("%s: it has not responded, or accepted no searches, for %v s", turn.Broker, plan.TimeoutSeconds)
		}
	}
	if share, ok := l.successShare(); ok && share < plan.MinSuccessShare {
		stop("%.3f of the searches succeeded, less than %v", share, plan.MinSuccessShare)
	}
	if plan.Stage == StageRunning {
		changed = l.startTurns(now, observed, outOfService, votersOut) || changed
	}
	if plan.Unfinished() && !slices.ContainsFunc(plan.Turns, func(turn Turn) bool { return turn.State != TurnDone && turn.State != TurnSkipped }) {
		plan.Stage = StageDone
		plan.StopReason = ""
		changed = true
	}
	return changed
}

// startTurns starts the turns of waiting brokers, as long as fewer than MaxConcurrent brokers are out of service. At most
// one voter has its turn at a time, and the leader's own broker has the last turn of all. now is in seconds, outOfService
// the number of brokers that are out of service already, and votersOut how many of these are voters. changed is true if a
// turn has started.
func (l *Leader) startTurns(now float64, observed map[string]Observation, outOfService, votersOut int) (changed bool) {
	plan := &l.plan
	unfinishedTurns := 0
	for _, turn := range plan.Turns {
		if turn.State != TurnDone && turn.State != TurnSkipped {
			unfinishedTurns++
		}
	}
	for i := range plan.Turns {
		turn := &plan.Turns[i]
		broker := observed[turn.Broker]
		if outOfService >= plan.MaxConcurrent {
			break
		}
		if turn.State != TurnWaiting || !broker.Responded || !broker.Ready || turn.Voter && votersOut > 0 || turn.Broker == l.ownBroker && unfinishedTurns > 1 {
			continue
		}
		turn.State = TurnInProgress
		turn.Process = broker.Process
		changed = true
		l.pendingSince[turn.Broker] = now
		outOfService++
		if turn.Voter {
			votersOut++
		}
	}
	return changed
}

// timedOut returns true if the broker has had its turn in progress, or has not been ready, for longer than the plan's timeout,
// by what this leader has observed itself. The first call for a broker starts the time and returns false. now is in seconds.
func (l *Leader) timedOut(now float64, broker string) bool {
	since, ok := l.pendingSince[broker]
	if !ok {
		l.pendingSince[broker] = now
		return false
	}
	return now-since > l.plan.TimeoutSeconds
}

// countSearches adds to endedSearches and succeededSearches the searches that have ended since each broker was last observed,
// if the same process of it was observed then, and stores the observations as the last ones.
func (l *Leader) countSearches(observed map[string]Observation) {
	for _, turn := range l.plan.Turns {
		current := observed[turn.Broker]
		if !current.Responded {
			continue
		}
		if previous, ok := l.lastObserved[turn.Broker]; ok && previous.Process == current.Process {
			l.endedSearches += max(current.Ended-previous.Ended, 0)
			l.succeededSearches += max(current.Succeeded-previous.Succeeded, 0)
		}
		l.lastObserved[turn.Broker] = current
	}
}

// successShare returns the fraction, from 0 to 1, of the counted searches that succeeded, and starts counting again; ok is
// false, and counting goes on, if fewer than minEndedSearches have ended.
func (l *Leader) successShare() (share float64, ok bool) {
	if l.endedSearches < minEndedSearches {
		return 0, false
	}
	share = float64(l.succeededSearches) / float64(l.endedSearches)
	l.endedSearches = 0
	l.succeededSearches = 0
	return share, true
}

// Order is the leader's message to a broker that it is the broker's turn to restart or to reload its settings.
type Order struct {
	// PlanID is the ID of the plan that gives the order.
	PlanID uint64 `cbor:"1,keyasint"`
	// Action is what the broker is to do: restart, or reload its settings.
	Action Action `cbor:"2,keyasint"`
	// Process is the 16-byte id of the process that is to act; another process of the broker must not follow the order.
	Process [16]byte `cbor:"3,keyasint"`
}

// PendingOrders returns, by the broker's name, the orders to be sent now: to brokers whose turn is in progress and whose
// process, as observed, has not acted by this plan yet. An order that was lost is thus returned again by the next call. The
// caller must have stored the plan before it sends them.
func (l *Leader) PendingOrders(observed map[string]Observation) map[string]Order {
	orders := map[string]Order{}
	for _, turn := range l.plan.Turns {
		if broker := observed[turn.Broker]; l.plan.Unfinished() && turn.State == TurnInProgress && broker.Responded &&
			broker.Process == turn.Process && broker.LastPlanID != l.plan.ID {
			orders[turn.Broker] = Order{l.plan.ID, l.plan.Action, turn.Process}
		}
	}
	return orders
}
