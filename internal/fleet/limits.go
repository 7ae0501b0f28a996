package fleet

// Bounds on what other brokers can make this process hold. Each suffices for a fleet of at least 1,024 brokers; memory is
// allocated as it is needed, not up to the bound in advance.
const (
	// maxConns is the largest number of connections that this process's Node may have with other brokers at a time.
	maxConns = 4096
	// maxHandshakes is the largest number of accepted connections that may be in their handshake at a time. It has room for all
	// 1,024 brokers, which connect to a new leader at once, and for the council's own brokers.
	maxHandshakes = 1024 + 64
	// maxInboundPeers is the largest number of brokers that may be connected to a member as its peers: members of the council,
	// or brokers that may become members.
	maxInboundPeers = 1024
	// maxKnownDisks is the largest number of disks of which a member remembers the last known state: how often the disk was
	// written and which process used it last.
	maxKnownDisks = 1024
	// maxListedLeases is the largest number of leases that one reply of the council to a listing has.
	maxListedLeases = 1024
	// maxClientFrameBytes is the largest length in bytes of a frame from, or to, a broker that is not a member of the
	// council.
	maxClientFrameBytes = 1 << 20
	// maxPeerFrameBytes is the largest length in bytes of a frame between members of the council, or to an operator's
	// command.
	maxPeerFrameBytes = 64 << 20
	// maxQueuedFrames is the largest number of frames in one queue of a connection. If a queue of requests or of replies
	// is full, the connection is closed; from a full queue of another kind, the new frame is dropped.
	maxQueuedFrames = 256
	// maxQueuedCalls is the largest number of functions that wait in the queue of one goroutine, which calls them in turn.
	// The methods named do block while the queue is full.
	maxQueuedCalls = 1024
)
