// Package council is the strong layer of a fleet: a few brokers that agree by Raft (a library) on the state of package
// lease. Member is one seat's decisions without clock, goroutine, socket or disk, so that random worlds run what
// ships; Store is what a seat keeps.
//
// Safety rests on these: what a member promises (votes, entries) is durable before any message leaves; a member's
// number in Raft is the number of its disk, drawn anew with each new disk, so that one that lost its disk is another
// member and joins as a learner first; a disk that is not the one it says (an old copy) is put aside.
package council

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brackenfront/lease"
)

const (
	ElectionTicks = 10 // of Tick, before a member without a leader stands for election
	mostMessage   = 1 << 20
	mostInFlight  = 256
	mostPending   = 64 << 20          // bytes of entries that are proposed and not agreed
	mostBatch     = 4096              // operations in one entry
	mostAsked     = 8192              // requests that wait for their entry
	mostWatch     = 4096              // requests that wait for a lease to change
	compactAfter  = 8192              // entries, or
	compactBytes  = 4 << 20           // bytes of them, that a snapshot replaces
	keepBehind    = 1024              // entries that stay for members which lag
	silent        = 2 * ElectionTicks // of Tick, after which a seat that has said nothing counts as gone
	closeBehind   = 64                // entries that a learner may lack to be given its vote
)

// Seat is a member as all know it: by its broker's name and where that listens.
type Seat struct {
	Disk    uint64 `cbor:"1,keyasint" json:"disk"` // its number in Raft
	Broker  string `cbor:"2,keyasint" json:"broker"`
	Addr    string `cbor:"3,keyasint" json:"addr"`
	Learner bool   `cbor:"4,keyasint" json:"learner,omitempty"`
	Instead uint64 `cbor:"5,keyasint,omitempty" json:"instead,omitempty"` // the disk whose seat a learner is to have
}

// kept is what a snapshot holds.
type kept struct {
	Seats []Seat `cbor:"1,keyasint"`
	State []byte `cbor:"2,keyasint"`
}

// entry is one proposal in the log.
type entry struct {
	Origin  uint64        `cbor:"1,keyasint"` // the member that proposed it,
	Number  uint64        `cbor:"2,keyasint"` // and its count since its start
	Command lease.Command `cbor:"3,keyasint"`
}

// Request is what a client asks of the council. Handle is the caller's, and stands in what comes of it.
type Request struct {
	Handle uint64
	Call   *lease.Call // or, if none:
	Look   *Look
}

// Look asks how leases stand, agreed at some moment between question and answer.
type Look struct {
	From  string   `cbor:"1,keyasint,omitempty"` // leases by name from here on
	Most  int      `cbor:"2,keyasint,omitempty"`
	Watch bool     `cbor:"3,keyasint,omitempty"` // only the lease From, and not before its holders are others than
	Known []uint64 `cbor:"4,keyasint,omitempty"` // those with these tokens

	Brokers bool `cbor:"5,keyasint,omitempty"` // the processes that have a session instead
	Note    bool `cbor:"6,keyasint,omitempty"` // the note of the lease From instead
	Pots    bool `cbor:"7,keyasint,omitempty"` // the budgets instead
}

// Seen answers a Look.
type Seen struct {
	Now    float64       `cbor:"1,keyasint" json:"now"`
	Leases []lease.Lease `cbor:"2,keyasint" json:"leases"`

	Brokers []lease.Broker `cbor:"3,keyasint,omitempty" json:"brokers,omitempty"`
	Note    *lease.Note    `cbor:"4,keyasint,omitempty" json:"note,omitempty"`
	Pots    []lease.Pot    `cbor:"5,keyasint,omitempty" json:"budgets,omitempty"`
}

// Reply is what became of a request.
type Reply struct {
	Handle uint64
	Answer *lease.Answer
	Seen   *Seen
	Err    error // ErrElsewhere, ErrBusy
}

var (
	ErrElsewhere = errors.New("council: this member does not lead")
	ErrBusy      = errors.New("council: too many requests wait")
)

// Out is what a turn brings: messages to be sent after it, replies, and news for sessions. It holds until the next turn.
type Out struct {
	Messages []*pb.Message
	Replies  []Reply
	News     []lease.Grant
	Stirred  []lease.ID // sessions that should call soon
	Lead     uint64     // number of the leader, 0 for none known
	Changed  bool       // the seats, or the leader
}

// Member is one seat.
type Member struct {
	id      uint64
	node    *raft.RawNode
	store   *Store
	state   *lease.State // none before a snapshot has come
	seats   []Seat
	conf    *pb.ConfState
	applied uint64
	bytes   int  // of entries applied since the last snapshot
	changed bool // the seats since then: a newcomer takes no snapshot that does not know it
	since   uint64

	compactAfter, keepBehind uint64

	ticks   int
	ledAt   int            // tick at which it began to lead
	heard   map[uint64]int // tick at which each disk's last message came; the library's own record starts anew with each check
	lead    uint64
	leading bool    // leads, and has applied all that was agreed before
	base    float64 // the council's time at
	read    float64 // this reading of the member's own clock
	asked   []Request
	number  uint64
	pending map[uint64][]Request // by number of the proposal
	watch   []Request
	elapsed float64 // time that is already proposed
	out     Out
}

// NewMember starts a seat from what its store holds.
func NewMember(s *Store, logger raft.Logger) (*Member, error) {
	m := &Member{id: s.Disk(), store: s, pending: map[uint64][]Request{}, heard: map[uint64]int{}, compactAfter: compactAfter, keepBehind: keepBehind}
	snap, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := m.restore(snap); err != nil {
			return nil, err
		}
	}
	m.since = m.applied
	m.node, err = raft.NewRawNode(&raft.Config{ID: m.id, ElectionTick: ElectionTicks, HeartbeatTick: 1, Storage: s,
		Applied: m.applied, MaxSizePerMsg: mostMessage, MaxInflightMsgs: mostInFlight, MaxUncommittedEntriesSize: mostPending,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: logger})
	return m, err
}

func (m *Member) restore(snap *pb.Snapshot) error {
	var k kept
	if err := lease.Decode(snap.GetData(), &k); err != nil {
		return err
	}
	state, err := lease.Restore(k.State)
	if err != nil {
		return err
	}
	m.state, m.seats = state, k.Seats
	m.conf, m.applied = snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex()
	m.since, m.bytes = m.applied, 0
	return nil
}

// Founding is the first snapshot of a council of these seats: every one of them starts with it.
func Founding(seats []Seat, t lease.Terms, number uint32) *pb.Snapshot {
	k := kept{Seats: seats, State: lease.New(t, number).Image()}
	conf := &pb.ConfState{}
	for _, s := range seats {
		conf.Voters = append(conf.Voters, s.Disk)
	}
	return &pb.Snapshot{Data: lease.Encode(k), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
}

// ID is the seat's number, its disk's.
func (m *Member) ID() uint64 { return m.id }

// State is the agreed state as far as this member knows; nil before anything has reached it.
func (m *Member) State() *lease.State { return m.state }

// Seats are the council's members as far as this one knows.
func (m *Member) Seats() []Seat { return m.seats }

// Lead is the number of the leader, 0 for none known; leading is whether this member leads and can take requests.
func (m *Member) Lead() (number uint64, leading bool) { return m.lead, m.leading }

// Progress is how far the log is agreed and carried out here, and Raft's term.
func (m *Member) Progress() (term, commit, applied uint64) {
	b := m.node.BasicStatus()
	return b.GetTerm(), b.GetCommit(), m.applied
}

// Ask takes a request for the next turn.
func (m *Member) Ask(r Request) {
	if len(m.asked) >= mostAsked {
		m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Err: ErrBusy})
		return
	}
	m.asked = append(m.asked, r)
}

// Step takes a message of another member.
func (m *Member) Step(msg *pb.Message) {
	if raft.IsLocalMsg(msg.GetType()) || msg.GetTo() != m.id || msg.GetType() == pb.MessageType_MsgProp {
		return
	}
	m.heard[msg.GetFrom()] = m.ticks
	m.node.Step(msg) // what it refuses is as good as lost
}

// Tick is one unit of elections' time. Nothing safe depends on how long it is.
func (m *Member) Tick() {
	m.ticks++
	if m.ticks%ElectionTicks == 0 { // disks that have gone are forgotten
		maps.DeleteFunc(m.heard, func(_ uint64, at int) bool { return m.ticks-at > silent })
	}
	m.node.Tick()
}

// Unreachable says that messages to a member are not getting through, Sent what became of a snapshot to it.
func (m *Member) Unreachable(id uint64) { m.node.ReportUnreachable(id) }
func (m *Member) Sent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	m.node.ReportSnapshot(id, status)
}

// Due is how many seconds from now on the member's clock a turn is due though nothing has come; infinite for none.
func (m *Member) Due(now float64) float64 {
	if !m.leading {
		return math.Inf(1)
	}
	if len(m.asked) > 0 {
		return 0
	}
	next := m.state.Next()
	if next <= m.elapsed { // already proposed, and not yet agreed
		return math.Inf(1)
	}
	return max(0, next-m.time(now))
}

// time is the council's time by this leader's clock.
func (m *Member) time(now float64) float64 { return m.base + max(0, now-m.read) }

// Turn carries on with all that has come. now is the member's clock, read after everything it was told was at hand:
// a renewal must not be stamped with a time from before it was sent. An error is the store's: the seat is over, and
// nothing of the turn may leave the process.
func (m *Member) Turn(now float64) (*Out, error) {
	before := m.lead
	m.propose(now)
	for m.node.HasReady() {
		rd := m.node.Ready()
		if rd.SoftState != nil {
			m.lead = rd.SoftState.Lead
			if rd.SoftState.RaftState != raft.StateLeader {
				m.leading = false
				m.drop()
			}
		}
		if err := m.store.Save(&rd); err != nil {
			return nil, err
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := m.restore(rd.Snapshot); err != nil {
				return nil, err
			}
			m.out.Changed = true
		}
		m.out.Messages = append(m.out.Messages, rd.Messages...)
		for _, e := range rd.CommittedEntries {
			if err := m.apply(e, now); err != nil {
				return nil, err
			}
		}
		m.node.Advance(rd)
		if err := m.compact(); err != nil {
			return nil, err
		}
		m.propose(now)
	}
	if m.state != nil {
		m.out.News = append(m.out.News, m.state.Told()...)
		m.out.Stirred = append(m.out.Stirred, m.state.Stirred()...)
	}
	m.out.Lead = m.lead
	m.out.Changed = m.out.Changed || m.lead != before
	return &m.out, nil
}

// Clear ends what Turn gave.
func (m *Member) Clear() {
	m.out.Messages, m.out.Replies, m.out.News, m.out.Stirred, m.out.Changed = m.out.Messages[:0], m.out.Replies[:0], m.out.News[:0], m.out.Stirred[:0], false
}

// propose puts what was asked, and time that has come, into the log, if this member leads.
func (m *Member) propose(now float64) {
	if !m.leading {
		for _, r := range m.asked {
			m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Err: ErrElsewhere})
		}
		m.asked = m.asked[:0]
		return
	}
	at := m.time(now)
	for len(m.asked) > 0 || at >= m.state.Next() && m.state.Next() > m.elapsed {
		c, n, ops := lease.Command{At: at}, 0, 0
		for ; n < len(m.asked) && ops <= mostBatch; n++ {
			if call := m.asked[n].Call; call != nil {
				c.Calls = append(c.Calls, *call)
				ops += 1 + len(call.Ops)
			}
		}
		batch := slices.Clone(m.asked[:n])
		m.asked = slices.Delete(m.asked, 0, n)
		m.number++
		if m.node.Propose(lease.Encode(entry{m.id, m.number, c})) != nil {
			for _, r := range batch {
				m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Err: ErrBusy})
			}
			return
		}
		m.elapsed = at
		m.pending[m.number] = batch
	}
}

// drop answers what cannot be answered here any more. What was proposed may still take effect.
func (m *Member) drop() {
	for _, n := range slices.Sorted(maps.Keys(m.pending)) {
		for _, r := range m.pending[n] {
			m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Err: ErrElsewhere})
		}
	}
	clear(m.pending)
	for _, r := range m.watch {
		m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Err: ErrElsewhere})
	}
	m.watch = m.watch[:0]
}

func (m *Member) apply(e *pb.Entry, now float64) error {
	m.applied = e.GetIndex()
	m.bytes += len(e.GetData())
	switch e.GetType() {
	case pb.EntryType_EntryConfChange, pb.EntryType_EntryConfChangeV2:
		return m.reseat(e)
	}
	b := m.node.BasicStatus()
	if len(e.GetData()) == 0 { // a leader's first entry: all agreed before it is carried out
		if b.RaftState == raft.StateLeader && e.GetTerm() == b.GetTerm() {
			m.leading, m.base, m.read, m.elapsed = true, m.state.Now(), now, m.state.Now()
			m.ledAt = m.ticks
		}
		return nil
	}
	var in entry
	if err := lease.Decode(e.GetData(), &in); err != nil {
		return fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
	}
	answers := m.state.Apply(in.Command)
	if in.Origin != m.id {
		return nil
	}
	batch := m.pending[in.Number]
	delete(m.pending, in.Number)
	for _, r := range batch {
		switch {
		case r.Call != nil:
			m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Answer: &answers[0]})
			answers = answers[1:]
		case r.Look.Watch && len(m.watch) < mostWatch:
			m.watch = append(m.watch, r)
		case r.Look.Watch:
			m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Err: ErrBusy})
		default:
			seen := &Seen{Now: m.state.Now()}
			switch {
			case r.Look.Brokers:
				seen.Brokers = m.state.Brokers()
			case r.Look.Pots:
				seen.Pots = m.state.Pots()
			case r.Look.Note:
				n := m.state.Note(r.Look.From)
				seen.Note = &n
			default:
				seen.Leases = m.state.Leases(r.Look.From, r.Look.Most)
			}
			m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Seen: seen})
		}
	}
	m.watch = slices.DeleteFunc(m.watch, func(r Request) bool {
		if l := m.state.Lease(r.Look.From); !slices.EqualFunc(l.Held, r.Look.Known, func(h lease.Holder, t uint64) bool { return h.Token == t }) {
			m.out.Replies = append(m.out.Replies, Reply{Handle: r.Handle, Seen: &Seen{Now: m.state.Now(), Leases: []lease.Lease{l}}})
			return true
		}
		return false
	})
	return nil
}

// Forget drops a watch whose client is gone.
func (m *Member) Forget(handle uint64) {
	m.watch = slices.DeleteFunc(m.watch, func(r Request) bool { return r.Handle == handle })
}

func (m *Member) reseat(e *pb.Entry) error {
	var change pb.ConfChangeI
	var err error
	if e.GetType() == pb.EntryType_EntryConfChange {
		cc := &pb.ConfChange{}
		err, change = proto.Unmarshal(e.GetData(), cc), cc
	} else {
		cc := &pb.ConfChangeV2{}
		err, change = proto.Unmarshal(e.GetData(), cc), cc
	}
	if err != nil {
		return fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
	}
	if with := change.AsV2().GetContext(); len(with) > 0 {
		var seats []Seat
		if err := lease.Decode(with, &seats); err != nil {
			return fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
		}
		m.seats = seats
	}
	m.conf = m.node.ApplyConfChange(change)
	m.out.Changed, m.changed = true, true
	return nil
}

// Admit takes a broker's new disk in, as a learner that gets the log and has no vote, in place of an earlier seat
// that does not answer; Promote makes it that seat. Both are refused with a reason. One change is under way at a time.
func (m *Member) Admit(s Seat, instead uint64) error {
	if err := m.changeable(); err != nil {
		return err
	}
	i := slices.IndexFunc(m.seats, func(o Seat) bool { return o.Disk == instead && !o.Learner })
	if i < 0 {
		return errors.New("council: the seat to be replaced is not one")
	}
	if m.ticks-m.ledAt <= silent {
		return errors.New("council: the leader is new and has not heard of all seats yet")
	}
	if m.active(instead) && m.seats[i].Broker == s.Broker {
		return errors.New("council: the seat's disk still answers: two processes of one name?")
	}
	var changes []*pb.ConfChangeSingle
	seats := slices.Clone(m.seats)
	for _, o := range m.seats { // a learner that was never promoted makes room
		if o.Learner {
			if o.Disk == s.Disk {
				return nil
			}
			changes = append(changes, change(pb.ConfChangeType_ConfChangeRemoveNode, o.Disk))
		}
	}
	seats = slices.DeleteFunc(seats, func(o Seat) bool { return o.Learner })
	s.Learner, s.Instead = true, instead
	changes = append(changes, change(pb.ConfChangeType_ConfChangeAddLearnerNode, s.Disk))
	return m.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: lease.Encode(append(seats, s))})
}

// Promote makes a learner that has caught up the seat in place of another.
func (m *Member) Promote(disk, instead uint64) error {
	if err := m.changeable(); err != nil {
		return err
	}
	i := slices.IndexFunc(m.seats, func(o Seat) bool { return o.Disk == disk && o.Learner })
	if i < 0 {
		return errors.New("council: no such learner")
	}
	// Guards against a leader that goes on appending until it learns that it is out: it then stands for nothing, votes for
	// nobody whose log is shorter, and with one disk more lost there is no majority of before and after the change.
	if instead == m.id {
		m.Transfer()
		return errors.New("council: who leads does not see itself out: another is to lead first")
	}
	p, ok := m.node.Status().Progress[disk]
	if _, commit, _ := m.Progress(); !ok || !m.active(disk) || p.Match == 0 || p.Match+closeBehind < commit {
		return errors.New("council: the learner has not caught up")
	}
	seats := slices.Clone(m.seats)
	seats[i].Learner, seats[i].Instead = false, 0
	seats = slices.DeleteFunc(seats, func(o Seat) bool { return o.Disk == instead })
	return m.node.ProposeConfChange(&pb.ConfChangeV2{Context: lease.Encode(seats), Changes: []*pb.ConfChangeSingle{
		change(pb.ConfChangeType_ConfChangeAddNode, disk), change(pb.ConfChangeType_ConfChangeRemoveNode, instead)}})
}

func (m *Member) changeable() error {
	if !m.leading {
		return ErrElsewhere
	}
	if len(m.conf.GetVotersOutgoing()) > 0 {
		return errors.New("council: a change is under way")
	}
	return nil
}

func (m *Member) active(disk uint64) bool {
	at, ok := m.heard[disk]
	return disk == m.id || ok && m.ticks-at <= silent
}

// Heard says of each seat whether it has answered this leader lately, and how far its log goes.
func (m *Member) Heard() map[uint64]Heard {
	all := map[uint64]Heard{}
	if _, leading := m.Lead(); leading {
		for id, p := range m.node.Status().Progress {
			all[id] = Heard{m.active(id), p.Match}
		}
	}
	return all
}

// Heard is what a leader knows of a seat.
type Heard struct {
	Active bool
	Match  uint64
}

// Transfer asks a seat to lead in place of this one, before this one ends.
func (m *Member) Transfer() {
	best, far := uint64(0), uint64(0)
	for id, h := range m.Heard() {
		if id != m.id && h.Active && (h.Match > far || h.Match == far && id < best) && slices.Contains(m.conf.GetVoters(), id) {
			best, far = id, h.Match
		}
	}
	if best != 0 {
		m.node.TransferLeader(best)
	}
}

func change(t pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)}
}

// compact replaces what is carried out by a snapshot, so that disk, memory and start stay level.
func (m *Member) compact() error {
	if !m.changed && m.applied-m.since < m.compactAfter && m.bytes < compactBytes || m.applied == m.since {
		return nil
	}
	m.since, m.bytes, m.changed = m.applied, 0, false
	return m.store.Compact(m.applied, m.conf, lease.Encode(kept{m.seats, m.state.Image()}), m.keepBehind)
}
