package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"brackenfront/internal/fleet/council"
	"brackenfront/lease"
	"brackenfront/rollingrestart"
)

const (
	// planLease is the name of the lease whose holder leads rolling restarts. The lease's note is the rollingrestart.Plan: which
	// brokers are to restart, and how far that is done.
	planLease = "fleet-roll"
	// instructionLease is the name of the lease whose note is the operator's last rollingrestart.Instruction: to begin, stop or
	// resume a rolling restart, for example. It is another lease than planLease, so that plan and instruction have one writer
	// each at a time; a note stays after its writer has released the lease.
	instructionLease = "fleet-roll-word"
	// restartPollTicks is the time, in ticks (of Config.Tick), between two steps of a rolling restart, each of which asks
	// the brokers for their states; while there is none, it is the time between two reads of the operator's instruction
	// from the member's own replica.
	restartPollTicks = 5
)

// leadRollingRestarts leads rolling restarts until ctx ends. It runs as the task of planLease. Two leaders at a time do
// no harm: only the lease's holder can write the plan, and brokers follow only the committed plan. While there is no
// leader the plan is unchanged; the next holder of the lease continues it.
func (n *Node) leadRollingRestarts(ctx context.Context, taskLease *TaskLease) error {
	admin := AdminClient{n.config.Council, n.keys, n.environment}
	note, err := admin.Note(ctx, planLease)
	if err != nil {
		return err
	}
	plan, err := readPlan(note)
	if err != nil {
		return err
	}
	leader := rollingrestart.NewLeader(n.config.Broker, plan)
	for {
		if err := n.advanceRollingRestart(ctx, taskLease, admin, leader); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartPollTicks * n.config.Tick):
		}
	}
}

// readPlan decodes the plan of a rolling restart from the note of planLease. An empty note gives the zero plan.
func readPlan(note lease.Note) (plan rollingrestart.Plan, err error) {
	if len(note.Data) > 0 {
		err = lease.Decode(note.Data, &plan)
	}
	return plan, err
}

// advanceRollingRestart makes one step of a rolling restart: it reads the operator's instruction, polls the brokers of the
// plan once, writes the plan if it has changed, and sends the orders that are due. It does only the first if the instruction
// changes nothing and no rolling restart is unfinished. leader has the plan and decides how it goes on.
func (n *Node) advanceRollingRestart(ctx context.Context, taskLease *TaskLease, admin AdminClient, leader *rollingrestart.Leader) error {
	// This replica may lag behind the council; an instruction is then read later.
	instructionNote, ok := n.member.replicaNote(ctx, instructionLease)
	if !ok {
		return errors.Join(ctx.Err(), council.ErrNotLeader)
	}
	stageBefore := leader.Plan().Stage
	changed := false
	if len(instructionNote.Data) > 0 {
		var instruction rollingrestart.Instruction
		if err := lease.Decode(instructionNote.Data, &instruction); err != nil {
			return err
		}
		if instruction.Number > leader.Plan().InstructionNumber {
			known, err := n.knownBrokers(ctx, admin)
			if err != nil {
				return err
			}
			changed = leader.Apply(instruction, known)
		}
	}
	if !changed && !leader.Plan().Unfinished() {
		return nil
	}
	observed := n.observeBrokers(ctx, admin, leader.Plan())
	if leader.Advance(n.environment.Now(), observed) || changed {
		if err := taskLease.WriteNote(ctx, lease.Encode(*leader.Plan())); err != nil {
			return err
		}
		if plan := leader.Plan(); plan.Stage != stageBefore {
			n.log.WithField("act", plan.Action.String()).
				WithField("back", plan.Reverting).
				WithField("stage", plan.Stage.String()).
				WithField("why", plan.StopReason).
				Info("fleet: the roll")
		}
	}
	return n.sendOrders(ctx, taskLease, admin, leader, observed)
}

// sendOrders orders the brokers that the plan has reached to restart or reload, at most maxConcurrentRequests at a time,
// and waits for their replies. A broker that refuses gets the order again later, unless it is found to have closed.
// leader has the plan and decides which orders are due; observed is the result of observeBrokers. The error is ErrLost if taskLease
// is no longer valid.
func (n *Node) sendOrders(ctx context.Context, taskLease *TaskLease, admin AdminClient, leader *rollingrestart.Leader, observed map[string]rollingrestart.Observation) error {
	var requests sync.WaitGroup
	defer requests.Wait()
	slots := make(chan bool, maxConcurrentRequests)
	orders := leader.PendingOrders(observed)
	for _, t := range leader.Plan().Turns {
		order, ok := orders[t.Broker]
		if !ok {
			continue
		}
		if !taskLease.Valid() {
			return ErrLost
		}
		slots <- true
		requests.Go(func() {
			defer func() { <-slots }()
			var err error
			if t.Broker == n.config.Broker {
				err = n.takeTurn(ctx, order)
			} else {
				err = admin.sendOrder(ctx, n.dialAddr(t.Broker, t.Addr), order)
			}
			if err != nil {
				n.countEvent("turn refused")
				n.log.WithError(err).WithField("broker", t.Broker).Debug("fleet: rolling restart: a broker did not take its turn")
			}
		})
	}
	return nil
}

// knownBrokers returns the brokers that have a session with the council.
func (n *Node) knownBrokers(ctx context.Context, admin AdminClient) ([]rollingrestart.KnownBroker, error) {
	brokers, err := admin.Brokers(ctx)
	if err != nil {
		return nil, err
	}
	known := make([]rollingrestart.KnownBroker, len(brokers))
	for i, b := range brokers {
		known[i] = rollingrestart.KnownBroker{Broker: b.Owner, Addr: b.Addr}
		for _, configured := range n.config.Council {
			known[i].Voter = known[i].Voter || configured.Broker == b.Owner
		}
	}
	return known, nil
}

// observeBrokers asks the brokers of the plan for their state, except those that the plan skips. The result is by the
// broker's name; a broker that does not reply has no entry.
func (n *Node) observeBrokers(ctx context.Context, admin AdminClient, plan *rollingrestart.Plan) map[string]rollingrestart.Observation {
	asked := make([]lease.Broker, 0, len(plan.Turns))
	for _, t := range plan.Turns {
		if t.State != rollingrestart.TurnSkipped {
			asked = append(asked, lease.Broker{Owner: t.Broker, Addr: t.Addr})
		}
	}
	var mu sync.Mutex
	observed := map[string]rollingrestart.Observation{}
	n.askEach(ctx, admin, asked, func(i int, state BrokerState, err error) {
		if err != nil {
			return
		}
		counters := state.Counters
		mu.Lock()
		defer mu.Unlock()
		observed[asked[i].Owner] = rollingrestart.Observation{
			Responded:  true,
			Process:    state.ProcessID,
			Ready:      state.Ready,
			LastPlanID: state.LastPlanID,
			Failure:    state.Failure,
			Succeeded:  counters["answered"],
			Ended:      counters["answered"] + counters["shed"] + counters["errored"],
		}
	})
	return observed
}

// replicaNote reads the note of the lease with the given name from this member's own replica, without asking the other members,
// so that it may be out of date. It returns false if ctx or the member's goroutine has ended first.
func (m *member) replicaNote(ctx context.Context, name string) (lease.Note, bool) {
	result := make(chan lease.Note, 1)
	if !m.do(ctx, func() {
		var note lease.Note
		if state := m.replica.State(); state != nil {
			note = state.Note(name)
		}
		result <- note
	}) {
		return lease.Note{}, false
	}
	select {
	case note := <-result:
		return note, true
	case <-m.done:
	case <-ctx.Done():
	}
	return lease.Note{}, false
}
