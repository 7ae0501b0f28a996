package council

import (
	"errors"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brackenfront/lease"
)

// applyMembership applies a committed change of the membership, which has compact take a new snapshot. An error says that the
// entry cannot be decoded.
func (r *Replica) applyMembership(committed *pb.Entry) error {
	var change pb.ConfChangeI
	var err error
	if committed.GetType() == pb.EntryType_EntryConfChange {
		decoded := &pb.ConfChange{}
		err, change = proto.Unmarshal(committed.GetData(), decoded), decoded
	} else {
		decoded := &pb.ConfChangeV2{}
		err, change = proto.Unmarshal(committed.GetData(), decoded), decoded
	}
	if err != nil {
		return fmt.Errorf("council: entry %d: %w", committed.GetIndex(), err)
	}
	if encoded := change.AsV2().GetContext(); len(encoded) > 0 {
		var members []Member
		if err := lease.Decode(encoded, &members); err != nil {
			return fmt.Errorf("council: entry %d: %w", committed.GetIndex(), err)
		}
		r.members = members
	}
	r.conf = r.node.ApplyConfChange(change)
	r.output.MembersOrLeaderChanged = true
	r.membersChanged = true
	return nil
}

// AdmitLearner proposes to add a broker with a new storage as a learner, in order to replace the voter with the Raft ID
// replaced; PromoteLearner then gives it the vote. A learner that was never promoted is removed by the same change. If
// newcomer is a learner already, nothing is done.
//
// Only the leader may call it. It is refused, with an error that says why, while another change is in progress, in the first
// silentTicks of a leader, if there is no such voter, and if newcomer has the broker name of that voter and this leader has
// received a message from that voter in the last silentTicks.
func (r *Replica) AdmitLearner(newcomer Member, replaced uint64) error {
	if err := r.checkCanChange(); err != nil {
		return err
	}
	i := slices.IndexFunc(r.members, func(other Member) bool { return other.Disk == replaced && !other.Learner })
	if i < 0 {
		return errors.New("council: the disk to be replaced is no voter")
	}
	if r.ticks-r.leadingSinceTick <= silentTicks {
		return errors.New("council: the leader is new and has not heard of all members yet")
	}
	if r.active(replaced) && r.members[i].Broker == newcomer.Broker {
		return errors.New("council: the member's disk still answers: two processes may have the same broker name")
	}
	var changes []*pb.ConfChangeSingle
	members := slices.Clone(r.members)
	for _, other := range r.members {
		if other.Learner {
			if other.Disk == newcomer.Disk {
				return nil
			}
			changes = append(changes, singleChange(pb.ConfChangeType_ConfChangeRemoveNode, other.Disk))
		}
	}
	members = slices.DeleteFunc(members, func(other Member) bool { return other.Learner })
	newcomer.Learner = true
	newcomer.Replaces = replaced
	changes = append(changes, singleChange(pb.ConfChangeType_ConfChangeAddLearnerNode, newcomer.Disk))
	return r.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: lease.Encode(append(members, newcomer))})
}

// PromoteLearner proposes to make the learner with the Raft ID disk a voter and to remove the voter with the Raft ID
// replaced.
//
// Only the leader may call it. It is refused, with an error that says why, while another change is in progress, if there is
// no such learner, and while the learner has sent this leader nothing in the last silentTicks or lacks more than
// maxLearnerLag committed entries. It is also refused if the voter to remove is this leader itself, which then asks another
// voter to lead.
func (r *Replica) PromoteLearner(disk, replaced uint64) error {
	if err := r.checkCanChange(); err != nil {
		return err
	}
	i := slices.IndexFunc(r.members, func(other Member) bool { return other.Disk == disk && other.Learner })
	if i < 0 {
		return errors.New("council: no such learner")
	}
	// A leader must not remove itself: it would go on appending entries until it learns of its removal, then no longer
	// stand for election, yet refuse its vote to members with a shorter log. If one more disk is lost at that time,
	// the joint configuration has no majority.
	if replaced == r.id {
		r.TransferLeadership()
		return errors.New("council: a leader does not remove itself: another member has to lead first")
	}
	progress, ok := r.node.Status().Progress[disk]
	if _, commit, _ := r.Progress(); !ok || !r.active(disk) || progress.Match == 0 || progress.Match+maxLearnerLag < commit {
		return errors.New("council: the learner has not caught up")
	}
	members := slices.Clone(r.members)
	members[i].Learner = false
	members[i].Replaces = 0
	members = slices.DeleteFunc(members, func(other Member) bool { return other.Disk == replaced })
	return r.node.ProposeConfChange(&pb.ConfChangeV2{
		Context: lease.Encode(members),
		Changes: []*pb.ConfChangeSingle{
			singleChange(pb.ConfChangeType_ConfChangeAddNode, disk),
			singleChange(pb.ConfChangeType_ConfChangeRemoveNode, replaced),
		},
	})
}

// checkCanChange returns an error if this member cannot propose a change of the membership now: ErrNotLeader, or one saying
// that another change is in progress.
func (r *Replica) checkCanChange() error {
	if !r.leading {
		return ErrNotLeader
	}
	if r.ChangeInProgress() {
		return errors.New("council: a change is under way")
	}
	return nil
}

// ChangeInProgress reports whether, as far as this member has applied the log, a replaced voter is still needed beside its
// replacement: elections and commits need a majority of the voters before the change and one of those after it.
func (r *Replica) ChangeInProgress() bool { return len(r.conf.GetVotersOutgoing()) > 0 }

// active reports whether the member with this Raft ID (disk) is this member itself, or has sent it a message in the last
// silentTicks calls of Tick.
func (r *Replica) active(disk uint64) bool {
	at, ok := r.lastHeard[disk]
	return disk == r.id || ok && r.ticks-at <= silentTicks
}

// MemberProgress is what a leader knows of a member: whether it is available, and how much of the log it has.
type MemberProgress struct {
	Active     bool   // whether it has sent the leader a message in the last silentTicks calls of Replica.Tick, or is the leader itself
	MatchIndex uint64 // index up to which its log is known to match the leader's; 0 until it has answered this leader
}

// MembersProgress returns the progress of each member, by its Raft ID (Member.Disk). It is empty on a member that does not
// lead.
func (r *Replica) MembersProgress() map[uint64]MemberProgress {
	all := map[uint64]MemberProgress{}
	if _, leading := r.Leader(); leading {
		for id, progress := range r.node.Status().Progress {
			all[id] = MemberProgress{r.active(id), progress.Match}
		}
	}
	return all
}

// TransferLeadership asks another voter to lead in place of this member, for example before this one ends: of those that
// have sent it a message in the last silentTicks, the one with the longest log. It does nothing where there is no such
// voter.
func (r *Replica) TransferLeadership() {
	best := uint64(0)
	bestIndex := uint64(0)
	for id, progress := range r.MembersProgress() {
		if id != r.id && progress.Active && (progress.MatchIndex > bestIndex || progress.MatchIndex == bestIndex && id < best) && slices.Contains(r.conf.GetVoters(), id) {
			best = id
			bestIndex = progress.MatchIndex
		}
	}
	if best != 0 {
		r.node.TransferLeader(best)
	}
}

// singleChange returns one of the changes that together make a Raft membership change: kind says whether the member with this
// Raft ID is added as a voter, added as a learner or removed.
func singleChange(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
}
