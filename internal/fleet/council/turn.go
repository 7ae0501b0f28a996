package council

import (
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"

	"brackenfront/lease"
)

// NextTurnDelay returns for how many seconds, from the reading now of the member's clock, the caller may wait with the next
// call of ProcessTurn if nothing is received. It is infinite if there is nothing to do before something is received.
func (r *Replica) NextTurnDelay(now float64) float64 {
	if !r.leading {
		return math.Inf(1)
	}
	if len(r.submitted) > 0 {
		return 0
	}
	next := r.state.NextExpiry()
	if next <= r.proposedTime {
		// A time by which the next expiry is due is already proposed, and not committed yet.
		return math.Inf(1)
	}
	return max(0, next-r.councilTime(now))
}

// councilTime returns the council's time, in seconds since its founding, at the time now of this member's clock (seconds), with
// which the leader stamps entries. Only a leader may call it.
func (r *Replica) councilTime(now float64) float64 {
	return r.leadStartTime + max(0, now-r.leadStartClock)
}

// ProcessTurn proposes what was submitted, and processes all that Raft has ready. now is the member's clock in seconds,
// read after everything that the replica was given had arrived: a renewal must not be stamped with a time from before
// it was sent. An error comes from the store: the replica must not be used any more, and nothing of the turn may leave
// the process.
func (r *Replica) ProcessTurn(now float64) (*Output, error) {
	before := r.leader
	r.propose(now)
	for r.node.HasReady() {
		ready := r.node.Ready()
		if ready.SoftState != nil {
			r.leader = ready.SoftState.Lead
			if ready.SoftState.RaftState != raft.StateLeader {
				r.leading = false
				r.failPending()
			}
		}
		if err := r.store.Save(&ready); err != nil {
			return nil, err
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := r.restore(ready.Snapshot); err != nil {
				return nil, err
			}
			r.output.MembersOrLeaderChanged = true
		}
		r.output.Messages = append(r.output.Messages, ready.Messages...)
		for _, committed := range ready.CommittedEntries {
			if err := r.apply(committed, now); err != nil {
				return nil, err
			}
		}
		r.node.Advance(ready)
		if err := r.compact(); err != nil {
			return nil, err
		}
		r.propose(now)
	}
	if r.state != nil {
		r.output.Grants = append(r.output.Grants, r.state.TakeGrants()...)
		r.output.SessionsToNotify = append(r.output.SessionsToNotify, r.state.TakeSessionsToNotify()...)
	}
	r.output.Leader = r.leader
	r.output.MembersOrLeaderChanged = r.output.MembersOrLeaderChanged || r.leader != before
	return &r.output, nil
}

// ClearOutput empties the Output that ProcessTurn returned. The caller calls it once it has delivered the Output.
func (r *Replica) ClearOutput() {
	r.output.Messages = r.output.Messages[:0]
	r.output.Replies = r.output.Replies[:0]
	r.output.Grants = r.output.Grants[:0]
	r.output.SessionsToNotify = r.output.SessionsToNotify[:0]
	r.output.MembersOrLeaderChanged = false
}

// propose proposes log entries with the submitted requests. Without requests it proposes one with the council time alone, if
// that time has reached State.NextExpiry, so that what is due then, such as the end of a session, takes effect. A member
// that does not lead answers the requests with ErrNotLeader instead. now is the member's clock in seconds.
func (r *Replica) propose(now float64) {
	if !r.leading {
		for _, request := range r.submitted {
			r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, Err: ErrNotLeader})
		}
		r.submitted = r.submitted[:0]
		return
	}
	at := r.councilTime(now)
	for len(r.submitted) > 0 || at >= r.state.NextExpiry() && r.state.NextExpiry() > r.proposedTime {
		command := lease.Command{Time: at}
		count := 0
		operations := 0
		for ; count < len(r.submitted) && operations <= maxBatchOperations; count++ {
			if call := r.submitted[count].Call; call != nil {
				command.Calls = append(command.Calls, *call)
				operations += 1 + len(call.Ops)
			}
		}
		batch := slices.Clone(r.submitted[:count])
		r.submitted = slices.Delete(r.submitted, 0, count)
		r.lastProposal++
		if r.node.Propose(lease.Encode(entry{r.id, r.lastProposal, command})) != nil {
			for _, request := range batch {
				r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, Err: ErrBusy})
			}
			return
		}
		r.proposedTime = at
		r.pending[r.lastProposal] = batch
	}
}

// failPending answers all requests whose entries are proposed but not applied, and all reads that wait for a lease to change,
// with ErrNotLeader. It is called when Raft says that this member does not lead. What was proposed may still take effect.
func (r *Replica) failPending() {
	for _, proposal := range slices.Sorted(maps.Keys(r.pending)) {
		for _, request := range r.pending[proposal] {
			r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, Err: ErrNotLeader})
		}
	}
	clear(r.pending)
	for _, request := range r.watches {
		r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, Err: ErrNotLeader})
	}
	r.watches = r.watches[:0]
}
