package fleet

import (
	"context"
	"encoding/binary"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brackenfront/internal/fleet/wire"
)

// neverSentTick is the value of inboundPeer.foundingSentTick while the founding snapshot has not been sent to that peer. It lies
// so far before the member's first tick that sending is due at once.
const neverSentTick = -1000

// diskRecord is what a member last learned of another member's disk from handshakes and Raft messages. checkDisk uses
// it to recognise a disk that was replaced by an older copy of itself.
type diskRecord struct {
	// processID is the random identity of the process that last used the disk, as far as known.
	processID [16]byte
	// writeCount is the highest known number of durable writes to the disk.
	writeCount uint64
}

// inboundPeer is a connection to this member from a broker of the council, or from one that may join it.
type inboundPeer struct {
	// Hello is what the broker said of itself in the connection's handshake; StorageBlank is kept up to date after that.
	wire.Hello
	// conn is the connection.
	conn *wire.Conn
	// foundingSentTick is the value of member.ticks when the founding snapshot was last sent to the broker; neverSentTick
	// before.
	foundingSentTick int
}

// servePeer serves a connection from another member until the connection ends. remoteHello is how that member described itself
// in the handshake. It returns the connection's error, which wire.ReasonCode classifies, or nil, without serving the
// connection, if ctx or this member's goroutine (run) has ended already.
func (m *member) servePeer(ctx context.Context, conn *wire.Conn, remoteHello wire.Hello) error {
	defer m.do(ctx, func() { m.removeInbound(remoteHello.Broker, conn) })
	if !m.do(ctx, func() { m.addInbound(conn, remoteHello) }) {
		return nil
	}
	for {
		kind, payload, err := conn.Read(maxPeerFrameBytes)
		if err != nil {
			return err
		}
		switch {
		case kind == frameRaft && len(payload) > writeCountBytes:
			message := &pb.Message{}
			if err := proto.Unmarshal(payload[writeCountBytes:], message); err != nil {
				return wire.ErrMalformed
			}
			if message.GetFrom() != remoteHello.StorageID {
				return wire.ErrForged
			}
			writeCount := binary.BigEndian.Uint64(payload)
			m.do(ctx, func() { m.receive(conn, remoteHello, writeCount, message) })
		case kind == frameFounding:
			m.do(ctx, func() { m.handleFoundingSnapshot(payload) })
		default:
			return wire.ErrMalformed
		}
	}
}

// receive passes a Raft message to the replica, unless the sender's disk is an old copy. writeCount is the number of
// durable writes to that disk when the message was sent. A disk that sends Raft messages is recorded as no longer
// blank.
func (m *member) receive(conn *wire.Conn, remoteHello wire.Hello, writeCount uint64, message *pb.Message) {
	if !m.checkDisk(conn, remoteHello, writeCount) {
		return
	}
	for _, remote := range m.inbound[remoteHello.Broker] {
		if remote.StorageID == remoteHello.StorageID {
			remote.StorageBlank = false
		}
	}
	m.replica.Step(message)
}

// addInbound adds a broker that has connected as a peer to inbound. If the broker states this broker's own name or no
// disk, the connection is closed; if its disk is an old copy or maxInboundPeers are connected, the broker is not added.
func (m *member) addInbound(conn *wire.Conn, remoteHello wire.Hello) {
	if remoteHello.StorageID == 0 || remoteHello.Broker == m.node.config.Broker {
		m.node.countEvent("two of one name")
		m.node.log.WithField("broker", remoteHello.Broker).Error("fleet: another process says that it is this broker")
		conn.Close()
		return
	}
	if !m.checkDisk(conn, remoteHello, remoteHello.WriteCount) || len(m.inbound) >= maxInboundPeers {
		return
	}
	if previous := m.inboundPeer(remoteHello.Broker); previous != nil && previous.Process != remoteHello.Process && previous.StorageID != remoteHello.StorageID {
		m.node.countEvent("two of one name")
	}
	connections := m.inbound[remoteHello.Broker]
	position := len(connections)
	for position > 0 && connections[position-1].isNewerThan(remoteHello) {
		position--
	}
	added := &inboundPeer{Hello: remoteHello, conn: conn, foundingSentTick: neverSentTick}
	m.inbound[remoteHello.Broker] = slices.Insert(connections, position, added)
	m.updatePeers()
}

// isNewerThan reports whether the connection was made with a later state of the same process's disk than the one that the
// hello other states. A broker that has written its disk connects again, and the two connections may be added in any order.
func (p *inboundPeer) isNewerThan(other wire.Hello) bool {
	return p.Process == other.Process && p.StorageID == other.StorageID && p.WriteCount > other.WriteCount
}

// inboundPeer returns the newest connection from the named broker; nil if it has none.
func (m *member) inboundPeer(broker string) *inboundPeer {
	connections := m.inbound[broker]
	if len(connections) == 0 {
		return nil
	}
	return connections[len(connections)-1]
}

// removeInbound removes a broker's connection conn, which has ended. The broker's other connections stay.
func (m *member) removeInbound(broker string, conn *wire.Conn) {
	connections := slices.DeleteFunc(m.inbound[broker], func(remote *inboundPeer) bool { return remote.conn == conn })
	if len(connections) == 0 {
		delete(m.inbound, broker)
		return
	}
	m.inbound[broker] = connections
}

// checkDisk reports whether a peer's disk is as recent as its last known state, and records its state; writeCount is the number
// of durable writes that the peer states. If another process than the last one opened the disk with fewer writes than that one
// had reported, the disk is an old copy, which lacks votes and log entries that were acknowledged: its messages are ignored,
// its broker is notified, and the connection is closed. Messages of one process may overtake each other, so a lower count from
// the same process is accepted.
func (m *member) checkDisk(conn *wire.Conn, remoteHello wire.Hello, writeCount uint64) bool {
	known, ok := m.disks[remoteHello.StorageID]
	switch {
	case !ok && len(m.disks) >= maxKnownDisks:
		// Disks are replaced so rarely that a full map can be cleared.
		clear(m.disks)
	case ok && known.processID == remoteHello.Process:
		writeCount = max(writeCount, known.writeCount)
	case ok && remoteHello.WriteCountAtOpen < known.writeCount:
		m.node.countEvent("old disk refused")
		m.node.goroutines.Go(func() {
			conn.Write(frameOutdatedDisk, nil)
			conn.Close()
		})
		return false
	}
	m.disks[remoteHello.StorageID] = diskRecord{processID: remoteHello.Process, writeCount: writeCount}
	return true
}

// retireDisk sets the contents of this member's disk aside, because another member has found them to be an old copy, and
// continues with a blank disk. disk is the storage id of the disk that was found to be old; if it is no longer the member's,
// retireDisk does nothing. It panics, which ends the member, if the disk fails.
func (m *member) retireDisk(disk uint64) {
	if m.store.Disk() != disk {
		return
	}
	m.node.log.Warn("fleet: others have known this seat's disk further on: it is an old copy, put aside")
	err := m.store.Close()
	if err == nil {
		err = m.node.environment.SetAside(m.node.config.CouncilDir)
	}
	if err == nil {
		err = m.open()
	}
	if err != nil {
		panic(err)
	}
	m.reconnectPeers()
}
