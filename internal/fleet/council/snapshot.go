package council

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brackenfront/lease"
)

// snapshotData is the content of a Raft snapshot (its field Data): what a member needs instead of the entries before it.
type snapshotData struct {
	Members []Member `cbor:"1,keyasint"` // the council's membership at the time of the snapshot
	State   []byte   `cbor:"2,keyasint"` // the agreed state, as lease.State.Snapshot encodes it
}

// NewFoundingSnapshot returns the first snapshot of a new council with these members as voters and with this configuration:
// every one of them starts with it. number is the number of the founding: if these brokers found another council later, it
// gets a higher number, so that its tokens are higher than all earlier ones.
func NewFoundingSnapshot(members []Member, config lease.Config, number uint32) *pb.Snapshot {
	data := snapshotData{Members: members, State: lease.NewState(config, number).Snapshot()}
	conf := &pb.ConfState{}
	for _, member := range members {
		conf.Voters = append(conf.Voters, member.Disk)
	}
	return &pb.Snapshot{
		Data:     lease.Encode(data),
		Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
}

// restore replaces the replica's state by that of a snapshot. An error says that the snapshot cannot be decoded.
func (r *Replica) restore(snapshot *pb.Snapshot) error {
	var data snapshotData
	if err := lease.Decode(snapshot.GetData(), &data); err != nil {
		return err
	}
	state, err := lease.RestoreState(data.State)
	if err != nil {
		return err
	}
	r.state = state
	r.members = data.Members
	r.conf = snapshot.GetMetadata().GetConfState()
	r.applied = snapshot.GetMetadata().GetIndex()
	r.snapshotIndex = r.applied
	r.bytesSinceSnapshot = 0
	return nil
}

// compact replaces the applied entries by a snapshot once there are Replica.compactAfter of them, or compactAfterBytes
// bytes, or when the membership has changed, so that disk space, memory and the time to start stay bounded. An error comes
// from the store.
func (r *Replica) compact() error {
	if !r.membersChanged && r.applied-r.snapshotIndex < r.compactAfter && r.bytesSinceSnapshot < compactAfterBytes || r.applied == r.snapshotIndex {
		return nil
	}
	r.snapshotIndex = r.applied
	r.bytesSinceSnapshot = 0
	r.membersChanged = false
	return r.store.Compact(r.applied, r.conf, lease.Encode(snapshotData{r.members, r.state.Snapshot()}), r.keptEntries)
}
