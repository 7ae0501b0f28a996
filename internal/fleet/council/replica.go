// Package council is the strongly consistent layer of a fleet: a few brokers that agree by Raft (go.etcd.io/raft) on
// the state of package lease. A Replica is the part of one council member that decides. It has no clock, goroutine,
// socket or disk of its own, so that tests can simulate a whole council with the code that runs in production. A Store
// is what a member keeps beyond the end of its process.
//
// A replica works in turns: between turns it is given messages, ticks and requests, and ProcessTurn then processes
// these and returns what to send. Council time is the agreed state's own clock, in seconds since the founding. The
// leader advances it by its clock with each entry that it proposes; it does not advance while no member leads.
//
// Safety rests on three rules:
//
//  1. What a member promises (votes, entries) is durable before any message leaves it.
//  2. The Raft ID of a member belongs to its disk, which here means its storage: each new storage draws a new random
//     number. A broker that lost its storage is thus another member to Raft, and joins as a learner first.
//  3. A storage that is an old copy of the file is set aside (renamed), and a new one takes its place.
//
// Terms of this package:
//   - A member is a broker of the council with its storage. A voter is a member with a vote; a learner receives the log
//     and has no vote yet.
//   - A Raft ID is the number by which Raft knows a member: Member.Disk.
//   - The log is Raft's list of entries, numbered by their index. An entry is committed once a majority of the voters has
//     stored it, and applied once a member has changed its state accordingly.
//   - A term is Raft's number of an election period; each has at most one leader.
//   - A snapshot is the state at one index of the log, in place of the entries up to it.
//   - The founding of a council is the storing of its first snapshot, the founding snapshot, at its first voters.
//   - A tick is one call of Replica.Tick, by which Raft measures time.
//   - A request is what a client, a broker or an operator's command, asks the council for: a call of its session (package
//     lease), or a read of the state.
//   - A watch is a read whose reply waits until the holders of a lease differ from those that the client knows.
//   - The handle of a request is a number by which its reply is matched to it.
//   - A session, place, token, note, share or council time is as in package lease; a rate, stock or floor as in package
//     budget.
//   - An incarnation of a simulated process (in tests) is its run between two restarts, numbered by how often it
//     had been stopped before.
package council

import (
	"maps"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"brackenfront/lease"
)

const (
	// ElectionTicks is the least number of ticks that a member waits without hearing from a leader before it stands for
	// election. Raft adds a random number of ticks below that, so that members rarely stand at the same time.
	ElectionTicks = 10
	// silentTicks is the number of ticks after which a member that has sent nothing counts as unavailable.
	silentTicks = 2 * ElectionTicks

	// maxMessageBytes is the largest total size, in bytes, of the log entries in one Raft message; a larger entry is sent alone.
	maxMessageBytes = 1 << 20
	// maxInFlightMessages is the largest number of messages with entries to one member that it has not acknowledged; then no
	// more are sent to it until it acknowledges some.
	maxInFlightMessages = 256
	// maxUncommittedBytes is the largest total size, in bytes, of the log entries that are proposed and not committed yet;
	// requests beyond it are answered with ErrBusy.
	maxUncommittedBytes = 64 << 20
	// maxBatchOperations limits the size of one log entry: requests are added to it until the calls in it have more
	// operations (Call.Ops) than this, where each call itself counts as one more.
	maxBatchOperations = 4096
	// maxSubmitted is the largest number of requests that wait for the next call of ProcessTurn; further ones are answered
	// with ErrBusy.
	maxSubmitted = 8192
	// maxWatches is the largest number of reads that wait for the holders of a lease to change; further ones are answered with
	// ErrBusy.
	maxWatches = 4096

	// compactAfterEntries is the number of applied entries after which a snapshot replaces them.
	compactAfterEntries = 8192
	// compactAfterBytes is the size of applied entries, in bytes, after which a snapshot replaces them.
	compactAfterBytes = 4 << 20
	// keptEntries is the number of log entries before a snapshot that stay in memory, so that a member whose log lacks only
	// some of these can be sent them instead of the snapshot.
	keptEntries = 1024
	// maxLearnerLag is the number of committed entries that a learner may lack when it is promoted to voter; with more it
	// stays a learner.
	maxLearnerLag = 64
)

// Replica is one member's replica of the council's state. It is not safe for concurrent use: one goroutine calls it.
type Replica struct {
	id      uint64        // this member's Raft ID (Member.Disk)
	node    *raft.RawNode // the Raft library's state machine of this member, which decides on elections and on what is committed
	store   *Store        // this member's stored log, term, vote and snapshot
	state   *lease.State  // sessions, leases, notes and budgets that the council has agreed on; nil until a first snapshot has come
	members []Member      // membership as of the last entry that was applied
	conf    *pb.ConfState // membership as of the last applied entry, in the Raft library's form
	applied uint64        // index of the last entry that was applied

	snapshotIndex      uint64 // log index of the last entry that the last snapshot covers
	bytesSinceSnapshot int    // size in bytes of the entries that were applied since the last snapshot
	// membersChanged is whether the membership has changed since the last snapshot. The change calls for a new
	// snapshot at once, because a new member does not take a snapshot that does not list it.
	membersChanged bool

	compactAfter uint64 // number of applied entries after which a snapshot replaces them: compactAfterEntries, or fewer in tests
	keptEntries  uint64 // number of entries before a snapshot that stay in memory: the constant keptEntries, or another number in tests

	ticks            int // number of calls of Tick since the start of this process
	leadingSinceTick int // value of ticks when this member last began to lead (leading)
	// lastHeard has the value that ticks had when the last message of each member came, by the member's Raft ID. The Raft
	// library's own record of which members are active does not suffice: the library clears it each time that a leader
	// checks whether a majority has been active.
	lastHeard map[uint64]int
	leader    uint64 // the leader's Raft ID (Member.Disk); 0 for none known
	leading   bool   // whether this member leads and has applied all that was committed before it led; requests are taken only then

	leadStartTime  float64 // council time, in seconds, when this member last began to lead; councilTime counts on from it by the member's clock
	leadStartClock float64 // reading of the member's own clock, in seconds, at leadStartTime
	proposedTime   float64 // latest council time, in seconds, that this member has proposed while it leads

	submitted    []Request            // requests that wait for the next call of ProcessTurn
	lastProposal uint64               // number of the last entry that this member proposed since its start
	pending      map[uint64][]Request // requests whose entry is proposed and not applied, by number of the proposal
	watches      []Request            // reads with Watch that went through the log and wait for the holders of their lease to change
	output       Output               // what ProcessTurn returns: all that was produced since the last ClearOutput
}

// NewReplica starts a member from what its store holds; the Raft library logs to logger. An error says that the stored state
// cannot be read.
func NewReplica(s *Store, logger raft.Logger) (*Replica, error) {
	r := &Replica{
		id:           s.Disk(),
		store:        s,
		pending:      map[uint64][]Request{},
		lastHeard:    map[uint64]int{},
		compactAfter: compactAfterEntries,
		keptEntries:  keptEntries,
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snapshot) {
		if err := r.restore(snapshot); err != nil {
			return nil, err
		}
	}
	r.snapshotIndex = r.applied
	r.node, err = raft.NewRawNode(&raft.Config{
		ID:                        r.id,
		ElectionTick:              ElectionTicks,
		HeartbeatTick:             1,
		Storage:                   s,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInFlightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    logger,
	})
	return r, err
}

// ID returns the member's Raft ID (Member.Disk).
func (r *Replica) ID() uint64 { return r.id }

// State returns the agreed state as far as this member knows it. It is nil until a first snapshot has come.
func (r *Replica) State() *lease.State { return r.state }

// Members returns the council's membership as far as this member knows it. The caller must not change the slice.
func (r *Replica) Members() []Member { return r.members }

// Leader returns in disk the leader's Raft ID (Member.Disk; 0 for none known), and in leading whether this member itself leads
// and can take requests.
func (r *Replica) Leader() (disk uint64, leading bool) { return r.leader, r.leading }

// Progress returns Raft's term as this member knows it, the index of the last entry that it knows to be committed, and that of
// the last entry that it has applied to its state.
func (r *Replica) Progress() (term, commit, applied uint64) {
	status := r.node.BasicStatus()
	return status.GetTerm(), status.GetCommit(), r.applied
}

// Submit takes a client's request, to be processed by the next ProcessTurn. If maxSubmitted requests wait already, its reply is
// ErrBusy.
func (r *Replica) Submit(request Request) {
	if len(r.submitted) >= maxSubmitted {
		r.output.Replies = append(r.output.Replies, Reply{Handle: request.Handle, Err: ErrBusy})
		return
	}
	r.submitted = append(r.submitted, request)
}

// Step takes a Raft message of another member, to be processed by the next ProcessTurn. It ignores messages to another Raft ID
// than this member's, and those of types that members of a council do not send to each other.
func (r *Replica) Step(message *pb.Message) {
	if raft.IsLocalMsg(message.GetType()) || message.GetTo() != r.id || message.GetType() == pb.MessageType_MsgProp {
		return
	}
	r.lastHeard[message.GetFrom()] = r.ticks
	// A message that the library refuses is treated as lost.
	r.node.Step(message)
}

// Tick advances Raft's time for heartbeats and elections by one tick. The caller calls it at regular intervals; safety does not
// depend on their length.
func (r *Replica) Tick() {
	r.ticks++
	if r.ticks%ElectionTicks == 0 {
		// Drops the entries of members that have sent nothing for silentTicks, so that the map stays small.
		maps.DeleteFunc(r.lastHeard, func(_ uint64, at int) bool { return r.ticks-at > silentTicks })
	}
	r.node.Tick()
}

// ReportUnreachable tells Raft that a message to the member with this Raft ID was not sent. A leader then sends that member its
// entries one message at a time, until the member answers.
func (r *Replica) ReportUnreachable(id uint64) { r.node.ReportUnreachable(id) }

// ReportSnapshot tells Raft whether a snapshot to the member with this Raft ID was sent completely. A leader sends that member
// no entries before this is called or the member answers.
func (r *Replica) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(id, status)
}
