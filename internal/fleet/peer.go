package fleet

import (
	"context"
	"encoding/binary"
	"time"

	"brackenfront/internal/fleet/wire"
)

const (
	// minRedialTicks is the first wait before a peer is dialled again, in ticks (of Config.Tick). The wait doubles up
	// to maxRedialTicks.
	minRedialTicks = 2
	// maxRedialTicks is the longest wait before a peer is dialled again, in ticks (of Config.Tick).
	maxRedialTicks = 10
	// writeCountBytes is the length in bytes of the write count of the sender's disk, which precedes a Raft message in
	// its frame.
	writeCountBytes = 8
)

// peer is the sending side of the connection to one other member. Its goroutine dials again whenever the connection ends;
// frames that cannot be sent are dropped, which Raft tolerates.
type peer struct {
	// member is this broker's own membership of the council, whose frames are sent.
	member *member
	// broker is the name of the broker that frames are sent to.
	broker string
	// addr is the address, host:port, at which that broker listens for the fleet.
	addr string
	// queue holds the frames that wait to be sent to the other member, at most maxQueuedFrames.
	queue chan peerFrame
	// cancel cancels the context of the peer's goroutine, which then closes its connection and ends.
	cancel context.CancelFunc
}

// peerFrame is a frame that waits to be sent to a peer.
type peerFrame struct {
	// kind is the frame's type: frameRaft or frameFounding.
	kind byte
	// payload is the frame's content, encoded as its kind requires.
	payload []byte
	// disk is the storage id of the receiving member if the frame is a Raft message; with it, Raft is notified when the
	// frame cannot be sent. For other frames it is 0.
	disk uint64
	// carriesSnapshot says that the frame is a Raft message with a snapshot; Raft has to learn whether such a message was
	// sent.
	carriesSnapshot bool
}

// newPeer returns a peer and starts its goroutine, which sends to the named broker until ctx ends or cancel is called.
func (m *member) newPeer(ctx context.Context, broker, addr string) *peer {
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{member: m, broker: broker, addr: addr, queue: make(chan peerFrame, maxQueuedFrames), cancel: cancel}
	m.node.goroutines.Go(func() { p.run(ctx) })
	return p
}

// queueMessage queues an encoded Raft message for the member with the storage id disk. snapshot says that the message
// carries a snapshot. writeCount is the number of durable writes to the sender's storage so far; it is sent with the
// message, and by it the receiver recognises a storage that was replaced by an older copy of itself. If the queue is full,
// the message is dropped and Raft is notified that the receiver is unreachable. Only the member's goroutine may call it.
func (p *peer) queueMessage(disk uint64, snapshot bool, writeCount uint64, message []byte) {
	payload := make([]byte, 0, writeCountBytes+len(message))
	payload = binary.BigEndian.AppendUint64(payload, writeCount)
	payload = append(payload, message...)
	frame := peerFrame{kind: frameRaft, payload: payload, disk: disk, carriesSnapshot: snapshot}
	select {
	case p.queue <- frame:
	default:
		p.member.node.countEvent("peer queue full")
		p.member.reportUnsent(frame)
	}
}

// queueFoundingSnapshot queues the council's encoded founding snapshot. If the queue is full, it is dropped;
// sendFoundingSnapshot sends it again later.
func (p *peer) queueFoundingSnapshot(founding []byte) {
	select {
	case p.queue <- peerFrame{kind: frameFounding, payload: founding}:
	default:
	}
}

// run keeps a connection to the peer open until ctx ends.
func (p *peer) run(ctx context.Context) {
	n := p.member.node
	minRedialWait := minRedialTicks * n.config.Tick
	wait := minRedialWait
	for ctx.Err() == nil {
		if p.connect(ctx) {
			wait = minRedialWait
		}
		p.discardQueued(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRedialTicks*n.config.Tick)
	}
}

// connect dials the peer and sends to it until the connection ends. It returns false if the connection could not be
// made or leads to another broker than the expected one.
func (p *peer) connect(ctx context.Context) bool {
	n := p.member.node
	// The hello is read before the dial, so that its StorageID is the one that the connection's handshake states, or an earlier
	// one.
	var mine wire.Hello
	p.member.fillHello(&mine)
	conn, remoteHello, err := n.dial(ctx, p.addr, wire.PurposePeer)
	if err != nil || !n.addConn(ctx, conn) {
		return false
	}
	defer n.dropConn(conn)
	if remoteHello.Broker != p.broker {
		n.countEvent("peer of another name")
		return false
	}
	p.sendQueued(ctx, conn, mine.StorageID)
	return true
}

// discardQueued drops the frames that were queued for a connection that has ended and notifies Raft of that; they would
// be outdated by the time of the next connection.
func (p *peer) discardQueued(ctx context.Context) {
	for {
		select {
		case frame := <-p.queue:
			p.reportUnsent(ctx, frame)
		default:
			return
		}
	}
}

// sendQueued sends the queued frames until the connection or ctx ends. disk is the storage id of this member that the
// connection's handshake stated; if the peer replies that the storage is an old copy, its contents are set aside.
func (p *peer) sendQueued(ctx context.Context, conn *wire.Conn, disk uint64) {
	closed := make(chan struct{})
	p.member.node.goroutines.Go(func() {
		defer close(closed)
		p.readReplies(ctx, conn, disk)
	})
	for {
		select {
		case frame := <-p.queue:
			if err := conn.Write(frame.kind, frame.payload); err != nil {
				p.reportUnsent(ctx, frame)
				return
			}
			if frame.carriesSnapshot {
				p.member.do(ctx, func() { p.member.replica.ReportSnapshot(frame.disk, true) })
			}
		case <-closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// readReplies reads from the peer until the connection ends. The only frame that a peer sends back is
// frameOutdatedDisk, which says that this member's durable storage, whose storage id is disk, is an old copy and has to
// be set aside.
func (p *peer) readReplies(ctx context.Context, conn *wire.Conn, disk uint64) {
	for {
		kind, _, err := conn.Read(0)
		if err != nil {
			return
		}
		if kind == frameOutdatedDisk {
			p.member.do(ctx, func() { p.member.retireDisk(disk) })
		}
	}
}

// reportUnsent has the member's goroutine notify Raft that a frame was not sent, if it is a Raft message.
func (p *peer) reportUnsent(ctx context.Context, frame peerFrame) {
	if frame.disk != 0 {
		p.member.do(ctx, func() { p.member.reportUnsent(frame) })
	}
}

// reportUnsent notifies Raft that the message in a frame of the kind frameRaft was not sent. Only the member's goroutine may
// call it.
func (m *member) reportUnsent(frame peerFrame) {
	m.replica.ReportUnreachable(frame.disk)
	if frame.carriesSnapshot {
		m.replica.ReportSnapshot(frame.disk, false)
	}
}

// peerByDisk returns the peer that sends to the broker with the given storage id. It looks for the id among the
// council's members and among the connected brokers; it returns nil if neither has it.
func (m *member) peerByDisk(disk uint64) *peer {
	for _, entry := range m.replica.Members() {
		if entry.Disk == disk {
			return m.peers[entry.Broker]
		}
	}
	for broker := range m.inbound {
		if m.inboundPeer(broker).StorageID == disk {
			return m.peers[broker]
		}
	}
	return nil
}

// updatePeers starts and stops peers, so that there is one for each other broker of the council, and for each connected broker
// that may join it and listens. A peer's address is the one in this broker's settings if there is one, else the one that the
// council has recorded, else the one that the broker itself announces in its hello.
func (m *member) updatePeers() {
	// wanted maps the name of a broker to the address at which it is dialled.
	wanted := map[string]string{}
	for _, entry := range m.replica.Members() {
		wanted[entry.Broker] = entry.Addr
	}
	for broker := range m.inbound {
		listenAddr := m.inboundPeer(broker).ListenAddr
		if _, ok := wanted[broker]; !ok && listenAddr != "" {
			wanted[broker] = listenAddr
		}
	}
	for _, configured := range m.node.config.Council {
		wanted[configured.Broker] = configured.Addr
	}
	delete(wanted, m.node.config.Broker)
	for broker, p := range m.peers {
		if wanted[broker] != p.addr {
			p.cancel()
			delete(m.peers, broker)
		}
	}
	for broker, addr := range wanted {
		if m.peers[broker] == nil {
			m.peers[broker] = m.newPeer(m.ctx, broker, addr)
		}
	}
}

// reconnectPeers ends the connections to all peers and dials them again, so that the handshakes of the new connections tell
// them of the present state of this member's disk.
func (m *member) reconnectPeers() {
	for broker, p := range m.peers {
		p.cancel()
		delete(m.peers, broker)
	}
	m.updatePeers()
}
