package fleet

import (
	"brackenfront/internal/fleet/council"
	"brackenfront/lease"
	"brackenfront/rollingrestart"
)

// The kinds of frames, as written in front of each frame.
const (
	// frameRaft carries a Raft message from one member to another, preceded by the write count of the sender's disk.
	frameRaft = 'm'
	// frameFounding carries the encoded founding snapshot of a council, from one member to another.
	frameFounding = 'f'
	// frameOutdatedDisk notifies a member that its disk holds fewer writes than were known of it, so that it is an old copy. The
	// frame has no payload.
	frameOutdatedDisk = 'o'
	// frameRequest carries a clientRequest, from a client to a broker.
	frameRequest = 'q'
	// frameReply carries a clientReply, from a broker to the client that sent the request.
	frameReply = 'a'
	// frameGrant carries a lease.Grant, from the council's leader to the broker whose session the lease was granted to. A grant
	// with an empty lease name asks the broker's session to make its next call soon.
	frameGrant = 'n'
	// frameHealthUpdates carries health updates of nodes, from the council's leader to a broker that has subscribed to those of
	// its zone.
	frameHealthUpdates = 't'
)

// clientRequest is a request from a client to a broker. Exactly one of the fields after Handle is set; it determines what is
// requested.
type clientRequest struct {
	// Handle is a number that the client chooses, and that the reply repeats so that the client can match the two.
	Handle uint64 `cbor:"1,keyasint"`
	// Call is a call of a lease session; only the council's leader handles it.
	Call *lease.Call `cbor:"2,keyasint,omitempty"`
	// Read is a read of the council's state; only its leader handles it.
	Read *council.ReadRequest `cbor:"3,keyasint,omitempty"`
	// Status requests the status of the broker that receives the request.
	Status bool `cbor:"4,keyasint,omitempty"`
	// Replace asks the council's leader to replace a member by another broker.
	Replace *Replacement `cbor:"5,keyasint,omitempty"`
	// State requests the BrokerState of the broker that receives the request.
	State bool `cbor:"6,keyasint,omitempty"`
	// Order makes the receiving broker restart or reload its settings now, because a rolling restart has reached it.
	Order *rollingrestart.Order `cbor:"7,keyasint,omitempty"`
	// HealthUpdates holds updates on the health of nodes, for the leader to forward to the brokers of a zone. It gets
	// no reply.
	HealthUpdates *HealthUpdates `cbor:"8,keyasint,omitempty"`
}

// Replacement requests that a member of the council be replaced by another broker, which has to run with a blank disk and
// with this council in its settings.
type Replacement struct {
	// OldBroker is the name of the broker that is replaced as a member of the council.
	OldBroker string `cbor:"1,keyasint"`
	// NewBroker is the name of the broker that becomes a member of the council in place of OldBroker.
	NewBroker string `cbor:"2,keyasint"`
}

// clientReply is a broker's reply to a clientRequest. Which of the fields is set depends on the request, or Err is set.
type clientReply struct {
	// Handle is the number by which the client matches the reply to its request: a copy of clientRequest.Handle.
	Handle uint64 `cbor:"1,keyasint"`
	// Answer is the council's answer to clientRequest.Call; nil for other requests.
	Answer *lease.Answer `cbor:"2,keyasint,omitempty"`
	// ReadResult is the result of clientRequest.Read; nil for other requests.
	ReadResult *council.ReadResult `cbor:"3,keyasint,omitempty"`
	// Status is the replying broker's status, for a request with clientRequest.Status; nil for other requests.
	Status *Status `cbor:"4,keyasint,omitempty"`
	// Err is the text of the error for which the request was refused or has failed; empty for none.
	Err string `cbor:"5,keyasint,omitempty"`
	// Leader is the name of the council's leader, to ask instead, if the replying broker is not the leader and knows
	// it.
	Leader string `cbor:"6,keyasint,omitempty"`
	// LeaderAddr is the address, host:port, at which Leader listens, as far as the replying broker knows; empty if
	// unknown.
	LeaderAddr string `cbor:"7,keyasint,omitempty"`

	// State is the replying broker's state, for a request with clientRequest.State; nil for other requests.
	State *BrokerState `cbor:"8,keyasint,omitempty"`
}

// BrokerState is the state of one broker process at a moment, as reports and rolling restarts use it.
type BrokerState struct {
	// ProcessID is the random identity of the process, chosen at its start.
	ProcessID [16]byte `cbor:"1,keyasint"`
	// Counters are the broker's counters since its start, by name; "answered", for example, counts the answered searches.
	Counters map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Ready says that the broker accepts searches now.
	Ready bool `cbor:"3,keyasint,omitempty"`
	// LastPlanID is the number of the last rolling-restart plan in which the process was ordered to restart or reload;
	// 0 for none.
	LastPlanID uint64 `cbor:"4,keyasint,omitempty"`
	// Failure says why the process failed to restart or reload when its turn came in the plan LastPlanID; empty if it
	// succeeded.
	Failure string `cbor:"5,keyasint,omitempty"`
}
