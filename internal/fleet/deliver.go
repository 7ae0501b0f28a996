package fleet

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brackenfront/internal/fleet/council"
	"brackenfront/lease"
)

// deliver sends the Raft messages, replies and notifications of a replica's output, and handles a change of the
// council's members or leader that it reports.
func (m *member) deliver(out *council.Output) {
	for _, message := range out.Messages {
		m.sendMessage(message)
	}
	for _, reply := range out.Replies {
		m.sendReply(reply)
	}
	for _, grant := range out.Grants {
		if client := m.subscribers[grant.Session]; client != nil {
			// If the queue is full, the notification is dropped: the client learns of the grant when it renews its session.
			client.queueGrant(grant)
		}
	}
	for _, session := range out.SessionsToNotify {
		if client := m.subscribers[session]; client != nil {
			// A grant of no lease tells the client to make a call.
			client.queueGrant(lease.Grant{Session: session})
		}
	}
	if out.MembersOrLeaderChanged {
		m.updatePeers()
		m.logLeader(out.Leader)
	}
	m.publish()
}

// sendMessage queues a Raft message for the member whose disk's number it is addressed to. If there is no connection
// for it, the message is dropped, which Raft tolerates.
func (m *member) sendMessage(message *pb.Message) {
	p := m.peerByDisk(message.GetTo())
	if p == nil {
		return
	}
	raw, err := proto.Marshal(message)
	if err != nil {
		return
	}
	p.queueMessage(message.GetTo(), message.GetType() == pb.MessageType_MsgSnap, m.store.WriteCount(), raw)
}

// sendReply sends the replica's reply to the client whose request it is for, unless the client's connection has closed.
func (m *member) sendReply(reply council.Reply) {
	request, ok := m.pending[reply.Handle]
	if !ok {
		return
	}
	delete(m.pending, reply.Handle)
	toClient := clientReply{Handle: request.handle, Answer: reply.Answer, ReadResult: reply.ReadResult}
	if reply.Err != nil {
		toClient.Err = reply.Err.Error()
		toClient.Leader, toClient.LeaderAddr = m.leader()
	}
	request.conn.queueReply(toClient)
}

// logLeader counts and logs a change of the council's leader, and does nothing if the leader is the one that was logged
// last. disk is the number of the present leader's disk; 0 if there is no leader.
func (m *member) logLeader(disk uint64) {
	if disk == m.loggedLeaderDisk {
		return
	}
	m.loggedLeaderDisk = disk
	name, _ := m.leader()
	m.node.countEvent("leader changed")
	m.node.log.WithField("lead", name).Info("fleet: the council's leader")
}

// leader returns the broker name and the address, host:port, of the council's leader; both are empty while none is
// known.
func (m *member) leader() (broker, addr string) {
	leaderDisk, _ := m.replica.Leader()
	for _, entry := range m.replica.Members() {
		if entry.Disk == leaderDisk {
			return entry.Broker, entry.Addr
		}
	}
	return "", ""
}
