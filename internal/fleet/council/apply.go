package council

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"brackenfront/lease"
)

// apply applies one committed entry to the state, and answers the requests in it if this member proposed it. With the empty
// entry of its own term a new leader begins to lead. now is the member's clock in seconds. An error says that the entry cannot
// be decoded.
func (r *Replica) apply(committed *pb.Entry, now float64) error {
	r.applied = committed.GetIndex()
	r.bytesSinceSnapshot += len(committed.GetData())
	switch committed.GetType() {
	case pb.EntryType_EntryConfChange, pb.EntryType_EntryConfChangeV2:
		return r.applyMembership(committed)
	}
	status := r.node.BasicStatus()
	if len(committed.GetData()) == 0 {
		// A new leader begins its term with an empty entry. Once that is applied, so is everything that was committed before.
		if status.RaftState == raft.StateLeader && committed.GetTerm() == status.GetTerm() {
			r.leading = true
			r.leadStartTime = r.state.Now()
			r.leadStartClock = now
			r.proposedTime = r.state.Now()
			r.leadingSinceTick = r.ticks
		}
		return nil
	}
	var proposal entry
	if err := lease.Decode(committed.GetData(), &proposal); err != nil {
		return fmt.Errorf("council: entry %d: %w", committed.GetIndex(), err)
	}
	answers := r.state.Apply(proposal.Command)
	if proposal.Origin != r.id {
		return nil
	}
	batch := r.pending[proposal.Number]
	delete(r.pending, proposal.Number)
	r.answerBatch(batch, answers)
	r.answerWatches()
	return nil
}

// answerBatch adds the replies to the requests in batch, those that were proposed in one log entry, to the Output, after
// that entry was applied. answers are the outcomes of those requests that are calls, in order. Watches are kept, to be
// answered once the holders of their lease differ.
func (r *Replica) answerBatch(batch []Request, answers []lease.Answer) {
	for _, request := range batch {
		switch {
		case request.Call != nil:
			r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, Answer: &answers[0]})
			answers = answers[1:]
		case request.Read.Watch && len(r.watches) < maxWatches:
			r.watches = append(r.watches, request)
		case request.Read.Watch:
			r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, Err: ErrBusy})
		default:
			r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, ReadResult: r.read(request.Read)})
		}
	}
}

// read returns the part of the agreed state that wanted asks for, as this member has the state now. wanted must not be a
// watch.
func (r *Replica) read(wanted *ReadRequest) *ReadResult {
	result := &ReadResult{Now: r.state.Now()}
	switch {
	case wanted.Brokers:
		result.Brokers = r.state.Brokers()
	case wanted.Pools:
		result.Pools = r.state.Pools()
	case wanted.Note:
		note := r.state.Note(wanted.Lease)
		result.Note = &note
	default:
		result.Leases = r.state.Leases(wanted.Lease, wanted.Limit)
	}
	return result
}

// answerWatches answers and drops the watches whose lease has other holders than the client knows.
func (r *Replica) answerWatches() {
	r.watches = slices.DeleteFunc(r.watches, func(watch Request) bool {
		current := r.state.Lease(watch.Read.Lease)
		hasToken := func(holder lease.Holder, token uint64) bool { return holder.Token == token }
		if !slices.EqualFunc(current.Holders, watch.Read.KnownTokens, hasToken) {
			result := &ReadResult{Now: r.state.Now(), Leases: []lease.Lease{current}}
			r.output.Replies = append(r.output.Replies, Reply{Handle: watch.Handle, ReadResult: result})
			return true
		}
		return false
	})
}

// CancelWatch drops the watch whose request has this handle, because its client has disconnected. A watch whose log entry is
// not applied yet is not dropped.
func (r *Replica) CancelWatch(handle uint64) {
	r.watches = slices.DeleteFunc(r.watches, func(watch Request) bool { return watch.Handle == handle })
}
