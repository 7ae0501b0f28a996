package council

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"

	"brackenfront/lease"
)

var (
	// ErrNotLeader says that a request came to a member that does not lead, or that stopped leading before it could
	// answer. In the second case the request may still take effect.
	ErrNotLeader = errors.New("council: this member does not lead")
	// ErrBusy says that a request was refused because a limit on waiting requests or on uncommitted entries is reached.
	ErrBusy = errors.New("council: too many requests wait")
)

// Member is one entry of the council's membership: a broker, and the disk (its stored copy of the council's log) by which Raft
// identifies it.
type Member struct {
	Disk     uint64 `cbor:"1,keyasint" json:"disk"`                        // the member's Raft ID: a random number, drawn when its stored copy of the log was created
	Broker   string `cbor:"2,keyasint" json:"broker"`                      // name in the fleet of the member's broker
	Addr     string `cbor:"3,keyasint" json:"addr"`                        // address, host:port, at which that broker listens for the fleet
	Learner  bool   `cbor:"4,keyasint" json:"learner,omitempty"`           // whether the member receives the log and has no vote
	Replaces uint64 `cbor:"5,keyasint,omitempty" json:"instead,omitempty"` // for a learner, the Raft ID (Disk) of the voter that it is to replace; 0 for none
}

// entry is what a member proposes as one entry of the Raft log: a command for the agreed state, and which member proposed it.
type entry struct {
	Origin  uint64        `cbor:"1,keyasint"` // Member.Disk, that is the Raft ID, of the member that proposed the entry
	Number  uint64        `cbor:"2,keyasint"` // number of the entry among those that its proposer has proposed since its start, from 1
	Command lease.Command `cbor:"3,keyasint"` // calls of sessions, and the council time at which they apply
}

// Request is a client's request to the council: either a Call, which goes into the log, or a Read.
type Request struct {
	Handle uint64       // number chosen by the caller, which the reply repeats
	Call   *lease.Call  // call of a session, which asks for leases or reports use of budgets; nil for a read
	Read   *ReadRequest // read of the agreed state; nil for a call
}

// ReadRequest asks for part of the agreed state, as it is at some moment between request and reply (a linearizable
// read). Without any of Watch, Brokers, Note and Pools it lists leases.
type ReadRequest struct {
	Lease string `cbor:"1,keyasint,omitempty"` // name of the lease; a listing of leases, sorted by name, begins with this name or the next one after it
	Limit int    `cbor:"2,keyasint,omitempty"` // for a listing of leases, the largest number of leases in the result; with 0 there are none
	// Watch asks for the lease named Lease alone. The reply is sent only once the tokens of its holders differ from
	// KnownTokens.
	Watch bool `cbor:"3,keyasint,omitempty"`
	// KnownTokens are, for Watch, the tokens of the holders that the client knows, in the order of lease.Lease.Holders; none
	// if it knows the lease as free.
	KnownTokens []uint64 `cbor:"4,keyasint,omitempty"`

	Brokers bool `cbor:"5,keyasint,omitempty"` // asks for the brokers whose processes have a session with the council
	Note    bool `cbor:"6,keyasint,omitempty"` // asks for the note (bytes that a holder has stored) of the lease named Lease
	Pools   bool `cbor:"7,keyasint,omitempty"` // asks for the budgets, each as a lease.Pool
}

// ReadResult is the outcome of a ReadRequest: the part of the agreed state that was asked for.
type ReadResult struct {
	Now    float64       `cbor:"1,keyasint" json:"now"`    // council time of the answer, in seconds
	Leases []lease.Lease `cbor:"2,keyasint" json:"leases"` // leases of a listing, or, for a read with Watch, the one lease that it names; nil for other reads

	Brokers []lease.Broker `cbor:"3,keyasint,omitempty" json:"brokers,omitempty"` // brokers that have a session; nil unless asked for
	Note    *lease.Note    `cbor:"4,keyasint,omitempty" json:"note,omitempty"`    // note of a lease; nil unless it was asked for
	Pools   []lease.Pool   `cbor:"5,keyasint,omitempty" json:"budgets,omitempty"` // the budgets: spec and present division of each; nil unless asked for
}

// Reply is the outcome of a request. Exactly one of Answer, ReadResult and Err is set.
type Reply struct {
	Handle     uint64        // copy of Request.Handle, by which the caller finds the request that this answers
	Answer     *lease.Answer // the council's answer to the request's Call; nil for a request with a Read
	ReadResult *ReadResult   // what the request's Read has returned; nil for a request with a Call
	Err        error         // why the request has no outcome: ErrNotLeader or ErrBusy
}

// Output is what a call of Replica.ProcessTurn produces for its caller to deliver. Such a call is a turn: it processes
// everything that the replica was given since the last one. The Output is valid until ClearOutput or the next ProcessTurn.
type Output struct {
	Messages               []*pb.Message // Raft messages to send to other members, once ProcessTurn has returned without an error
	Replies                []Reply       // outcomes of requests that were submitted, to be sent to their clients
	Grants                 []lease.Grant // grants to sessions that had waited, which are to be notified of them
	SessionsToNotify       []lease.ID    // sessions to be notified that they should send their next call soon, as their shares of budgets have changed
	Leader                 uint64        // Member.Disk, that is the Raft ID, of the leader; 0 for none known
	MembersOrLeaderChanged bool          // whether the membership, or the leader that this member knows, has changed since the last ClearOutput
}
