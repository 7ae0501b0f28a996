package fleet

import (
	"context"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
)

const (
	// foundingWaitTicks is how long, in ticks, all brokers of the council have to be connected with unused disks before it is
	// founded: members of an existing council dial again at least every maxRedialTicks, so that this is time for several tries.
	foundingWaitTicks = 3 * maxRedialTicks
	// foundingWarningSeconds is the time in seconds between two warnings that the council is not founded.
	foundingWarningSeconds = 60
)

// manageMembership runs once a tick. It founds the council if there is none, sends the founding snapshot to brokers that lack
// it and, on the leader, admits new disks of the council's brokers. It panics, which ends the member, if the disk fails.
func (m *member) manageMembership() {
	if m.store.Blank() {
		if err := m.foundCouncil(); err != nil {
			panic(err)
		}
	}
	if founding := m.store.FoundingSnapshot(); founding != nil {
		m.sendFoundingSnapshot(founding)
	}
	if _, leading := m.replica.Leader(); leading && m.ticks%council.ElectionTicks == 0 {
		m.admitDisks()
	}
}

// sendFoundingSnapshot sends the encoded founding snapshot to each connected broker whose disk is blank and is one of
// the snapshot's voters, at most once in an election timeout.
func (m *member) sendFoundingSnapshot(founding []byte) {
	for broker := range m.inbound {
		remote := m.inboundPeer(broker)
		p := m.peers[broker]
		due := m.ticks-remote.foundingSentTick > council.ElectionTicks
		if p != nil && remote.StorageBlank && due && isFoundingVoter(founding, remote.StorageID) {
			remote.foundingSentTick = m.ticks
			p.queueFoundingSnapshot(founding)
		}
	}
}

// admitDisks makes at most one change of the council's members: it makes a learner that has caught up a voter, or else admits
// the blank disk of a member's broker as a learner, in place of the disk that the broker has lost. Only the leader calls it.
func (m *member) admitDisks() {
	members := m.replica.Members()
	for _, entry := range members {
		if entry.Learner && m.replica.PromoteLearner(entry.Disk, entry.Replaces) == nil {
			m.node.log.WithField("broker", entry.Broker).Info("fleet: a new disk takes its seat in the council")
			return
		}
	}
	for _, entry := range members {
		remote := m.inboundPeer(entry.Broker)
		if remote == nil || !remote.StorageBlank || hasDisk(members, remote.StorageID) {
			continue
		}
		admitted := council.Member{Disk: remote.StorageID, Broker: entry.Broker, Addr: entry.Addr}
		if m.replica.AdmitLearner(admitted, entry.Disk) == nil {
			m.node.log.WithField("broker", entry.Broker).Info("fleet: a new disk of a broker of the council learns")
			return
		}
	}
}

// hasDisk reports whether one of the members has the disk with the given storage id.
func hasDisk(members []council.Member, disk uint64) bool {
	return slices.ContainsFunc(members, func(entry council.Member) bool { return entry.Disk == disk })
}

// foundCouncil founds the council. Only the first of the configured brokers does so, and only when all of them have been
// connected with unused disks for foundingWaitTicks. So a broker that has lost its disk does not found a second council beside
// the existing one: a disk on which it is recorded that there is a council (noteDisk) is not unused, and in the wait the
// members of a council, who may not be in this broker's configuration, connect to it. Until then foundCouncil does nothing and
// returns nil. An error comes from the disk.
func (m *member) foundCouncil() error {
	members := m.foundingMembers()
	if members == nil {
		m.foundingReadyTicks = 0
		return nil
	}
	m.foundingReadyTicks++
	if m.foundingReadyTicks < foundingWaitTicks {
		return nil
	}
	config := m.node.config
	m.node.log.WithField("founding", config.FoundingNumber).Info("fleet: all of the council are there and blank: it is founded")
	return m.installFoundingSnapshot(council.NewFoundingSnapshot(members, config.Terms, config.FoundingNumber))
}

// foundingMembers returns the members of a council that this broker may found now; nil if it may not.
func (m *member) foundingMembers() []council.Member {
	config := m.node.config
	if config.Council[0].Broker != config.Broker {
		return nil
	}
	var members []council.Member
	unused := m.store.Unused()
	for _, configured := range config.Council {
		disk := m.store.Disk()
		if configured.Broker != config.Broker {
			remote := m.inboundPeer(configured.Broker)
			if remote == nil || !remote.StorageBlank {
				return nil
			}
			disk = remote.StorageID
			unused = unused && remote.WriteCount == 0
		}
		if hasDisk(members, disk) {
			return nil
		}
		members = append(members, council.Member{Disk: disk, Broker: configured.Broker, Addr: configured.Addr})
	}
	if !unused {
		m.refuseFounding()
		return nil
	}
	return members
}

// refuseFounding counts, and logs once a minute, that the council is not founded although all of its configured brokers are
// connected with blank disks, because one of them knows of a council.
func (m *member) refuseFounding() {
	m.node.countEvent("founding refused")
	if now := m.node.environment.Now(); now >= m.nextFoundingWarning {
		m.nextFoundingWarning = now + foundingWarningSeconds
		m.node.log.Warn("fleet: the council is not founded, as one of its brokers knows of another: if all disks of that are lost, raise fleet.founding and empty fleet.dir on all brokers of the council")
	}
}

// noteDisk handles what another broker's hello says of its disk. If that belongs to a council, and this broker's own disk has
// never been written, the own disk records that there is a council, so that none is founded with it, and the peers are told so
// by new connections. Any goroutine but the member's may call it.
func (n *Node) noteDisk(ctx context.Context, remoteHello wire.Hello) {
	if n.member == nil || remoteHello.StorageID == 0 || remoteHello.StorageBlank {
		return
	}
	n.member.do(ctx, n.member.recordCouncil)
}

// recordCouncil records on an unused disk that there is a council. It panics, which ends the member, if the disk fails.
func (m *member) recordCouncil() {
	if !m.store.Unused() {
		return
	}
	if err := m.store.RecordCouncil(); err != nil {
		panic(err)
	}
	m.refreshHello()
	m.reconnectPeers()
}

// handleFoundingSnapshot installs an encoded founding snapshot that another member sent, if this member's disk is blank
// and is one of the snapshot's voters; otherwise it ignores it. It panics, which ends the member, if the disk fails.
func (m *member) handleFoundingSnapshot(founding []byte) {
	if !m.store.Blank() || !isFoundingVoter(founding, m.store.Disk()) {
		return
	}
	snapshot := &pb.Snapshot{}
	if proto.Unmarshal(founding, snapshot) != nil {
		return
	}
	if err := m.installFoundingSnapshot(snapshot); err != nil {
		panic(err)
	}
}

// installFoundingSnapshot writes the founding snapshot of a new council to this member's blank disk, and starts the member's
// replica from it. It returns an error, and sets no replica, if the disk already belongs to a council, if it cannot be
// written, or if the replica cannot start from it.
func (m *member) installFoundingSnapshot(snapshot *pb.Snapshot) error {
	if err := m.store.InstallFoundingSnapshot(snapshot); err != nil {
		return err
	}
	replica, err := council.NewReplica(m.store, raftLog{m.node.log})
	if err == nil {
		m.replica = replica
	}
	return err
}

// isFoundingVoter reports whether the disk with the given storage id is among the voters that an encoded founding snapshot (a
// pb.Snapshot) lists. It returns false if the snapshot cannot be decoded.
func isFoundingVoter(founding []byte, disk uint64) bool {
	snapshot := &pb.Snapshot{}
	if proto.Unmarshal(founding, snapshot) != nil {
		return false
	}
	return slices.Contains(snapshot.GetMetadata().GetConfState().GetVoters(), disk)
}

// replaceMember begins to replace a member by a broker with a blank disk, which is admitted as a learner first. The
// error is council.ErrNotLeader if the council's new or present leader has to be asked instead; any other error is
// reported to the operator.
func (m *member) replaceMember(replacement Replacement) error {
	if _, leading := m.replica.Leader(); !leading {
		return council.ErrNotLeader
	}
	members := m.replica.Members()
	i := slices.IndexFunc(members, func(entry council.Member) bool { return entry.Broker == replacement.OldBroker && !entry.Learner })
	if i < 0 {
		return fmt.Errorf("%s has no seat in the council", replacement.OldBroker)
	}
	if replacement.OldBroker == m.node.config.Broker {
		// A leader does not remove itself: the new member may not even know of its removal.
		m.replica.TransferLeadership()
		return council.ErrNotLeader
	}
	remote := m.inboundPeer(replacement.NewBroker)
	if remote == nil || !remote.StorageBlank || remote.ListenAddr == "" {
		return fmt.Errorf("%s is not there with a blank disk: start it with this council stated, fleet.listen and fleet.dir", replacement.NewBroker)
	}
	admitted := council.Member{Disk: remote.StorageID, Broker: replacement.NewBroker, Addr: remote.ListenAddr}
	return m.replica.AdmitLearner(admitted, members[i].Disk)
}
