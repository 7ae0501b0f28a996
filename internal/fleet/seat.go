package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
	"brackenfront/lease"
)

// seat is this broker's place in the council: one goroutine owns it, fed by do.
type seat struct {
	n      *Node
	inbox  chan func()
	over   chan struct{} // closed when the goroutine has ended
	store  *council.Store
	member *council.Member
	peers  map[string]*peer  // by broker
	heard  map[string]*heard // brokers with a blank or other disk that are connected, by name
	marks  map[uint64]mark   // how far each disk is known to have been
	opened uint64            // marks of our own when it was opened
	asks   map[uint64]asked
	handle uint64
	news   map[lease.ID]*caller
	hears  map[*caller]bool // those that news of nodes are for
	ticks  int
	lead   uint64
	life   context.Context // the seat's: what it starts goes on beyond the connection that was the reason

	mu     sync.Mutex // for what other goroutines say of it
	intro  wire.Hello
	status *SeatStatus
	failed error
}

// mark is the process that was last heard of with a disk, and how many durable steps the disk had seen by then.
type mark struct {
	process [16]byte
	most    uint64
}

type asked struct {
	by     *caller
	handle uint64
}

// heard is a broker that has said hello as a peer.
type heard struct {
	wire.Hello
	told int // tick at which the founding was last sent to it
}

func (n *Node) newSeat() (*seat, error) {
	s := &seat{n: n, inbox: make(chan func(), inboxed), over: make(chan struct{}), peers: map[string]*peer{},
		heard: map[string]*heard{}, marks: map[uint64]mark{}, asks: map[uint64]asked{}, news: map[lease.ID]*caller{}, hears: map[*caller]bool{}}
	if err := s.open(); err != nil {
		return nil, err
	}
	s.publish()
	return s, nil
}

// open takes what the folder holds.
func (s *seat) open() error {
	k, aside, err := s.n.world.Open(s.n.stated.Dir)
	if err != nil {
		return err
	}
	if aside {
		s.n.count("disk put aside")
		s.n.log.WithField("dir", s.n.stated.Dir).Warn("fleet: the folder of the seat is a copy: put aside, it joins as a new disk")
	}
	if s.store, err = council.Open(k); err == nil {
		s.member, err = council.NewMember(s.store, raftLog{s.n.log})
	}
	if err != nil {
		k.Close()
		return err
	}
	s.opened = s.store.Marks()
	s.say()
	return nil
}

// say is what a hello tells of the seat.
func (s *seat) say() {
	s.mu.Lock()
	s.intro = wire.Hello{Disk: s.store.Disk(), Blank: s.store.Blank(), Marks: s.store.Marks(), Opened: s.opened}
	s.mu.Unlock()
}

func (s *seat) introduce(h *wire.Hello) {
	s.mu.Lock()
	h.Disk, h.Blank, h.Marks, h.Opened = s.intro.Disk, s.intro.Blank, s.intro.Marks, s.intro.Opened
	s.mu.Unlock()
}

// do has something done by the goroutine that owns the seat; false when that has ended.
func (s *seat) do(ctx context.Context, f func()) bool {
	select {
	case s.inbox <- f:
		return true
	case <-s.over:
	case <-ctx.Done():
	}
	return false
}

func (s *seat) run(ctx context.Context) {
	err := s.turns(ctx)
	for _, p := range s.peers {
		p.stop()
	}
	if err != nil && ctx.Err() == nil {
		s.n.count("seat failed")
		s.n.log.WithError(err).Error("fleet: the seat in the council is over until a new start; searches go on")
		s.mu.Lock()
		s.failed = err
		s.mu.Unlock()
	}
	close(s.over)
	if err := s.store.Close(); err != nil {
		s.n.log.WithError(err).Warn("fleet: the seat's store")
	}
	for { // what was already handed in has an answer: none
		select {
		case <-s.inbox:
		default:
			for _, a := range s.asks {
				a.by.tell(answered{Handle: a.handle, Err: council.ErrElsewhere.Error()})
			}
			return
		}
	}
}

// turns is the seat's life. Raft panics where its log cannot be what was promised; that ends the seat, not the broker.
func (s *seat) turns(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("council: %v", r)
		}
	}()
	tick := time.NewTicker(s.n.stated.Tick)
	defer tick.Stop()
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	s.life = ctx
	s.reseat()
	for {
		select {
		case f := <-s.inbox:
			f()
			for range inboxed {
				select {
				case f := <-s.inbox:
					f()
					continue
				default:
				}
				break
			}
		case <-tick.C:
			s.ticks++
			s.member.Tick()
			s.steer()
		case <-due.C:
		case <-ctx.Done():
			return nil
		}
		now := s.n.world.Now() // behind all that was taken in: Member.Turn says why
		out, err := s.member.Turn(now)
		if err != nil {
			return err
		}
		s.deliver(out)
		s.member.Clear()
		s.say()
		wait := time.Hour
		if d := s.member.Due(s.n.world.Now()); !math.IsInf(d, 1) {
			wait = max(time.Duration(d*float64(time.Second)), time.Millisecond)
		}
		due.Reset(wait)
	}
}

func (s *seat) deliver(out *council.Out) {
	for _, m := range out.Messages {
		if p := s.byDisk(m.GetTo()); p != nil {
			raw, err := proto.Marshal(m)
			if err != nil {
				continue
			}
			p.send(m.GetTo(), m.GetType() == pb.MessageType_MsgSnap, s.store.Marks(), raw)
		}
	}
	for _, r := range out.Replies {
		a, ok := s.asks[r.Handle]
		if !ok {
			continue
		}
		delete(s.asks, r.Handle)
		t := answered{Handle: a.handle, Answer: r.Answer, Seen: r.Seen}
		if r.Err != nil {
			t.Err = r.Err.Error()
			t.Lead, t.Addr = s.leader()
		}
		a.by.tell(t)
	}
	for _, g := range out.News {
		if c := s.news[g.Session]; c != nil {
			c.grant(g) // where too many wait, it asks when it renews
		}
	}
	for _, id := range out.Stirred {
		if c := s.news[id]; c != nil {
			c.grant(lease.Grant{Session: id}) // of no lease: it has to call
		}
	}
	if out.Changed {
		s.reseat()
		if out.Lead != s.lead {
			s.lead = out.Lead
			name, _ := s.leader()
			s.n.count("leader changed")
			s.n.log.WithField("lead", name).Info("fleet: the council's leader")
		}
	}
	s.publish()
}

func (s *seat) leader() (broker, addr string) {
	lead, _ := s.member.Lead()
	for _, o := range s.member.Seats() {
		if o.Disk == lead {
			return o.Broker, o.Addr
		}
	}
	return "", ""
}

func (s *seat) byDisk(disk uint64) *peer {
	for _, o := range s.member.Seats() {
		if o.Disk == disk {
			return s.peers[o.Broker]
		}
	}
	for _, h := range s.heard { // of those who would join
		if h.Disk == disk {
			return s.peers[h.Broker]
		}
	}
	return nil
}

// reseat has a peer for every other broker of the council, as the operator names them or the council has agreed.
func (s *seat) reseat() {
	want := map[string]string{}
	for _, o := range s.member.Seats() {
		want[o.Broker] = o.Addr
	}
	for _, h := range s.heard {
		if _, ok := want[h.Broker]; !ok && h.Addr != "" {
			want[h.Broker] = h.Addr
		}
	}
	for _, o := range s.n.stated.Council {
		want[o.Broker] = o.Addr
	}
	delete(want, s.n.stated.Broker)
	for name, p := range s.peers {
		if want[name] != p.addr {
			p.stop()
			delete(s.peers, name)
		}
	}
	for name, addr := range want {
		if s.peers[name] == nil {
			s.peers[name] = s.newPeer(s.life, name, addr)
		}
	}
}

// hear serves a connection from another seat until it ends.
func (s *seat) hear(ctx context.Context, c *wire.Conn, theirs wire.Hello) error {
	defer s.do(ctx, func() {
		if h := s.heard[theirs.Broker]; h != nil && h.Process == theirs.Process && h.Disk == theirs.Disk {
			delete(s.heard, theirs.Broker)
		}
	})
	if !s.do(ctx, func() { s.met(c, theirs) }) {
		return nil
	}
	for {
		kind, raw, err := c.Read(mostPeer)
		if err != nil {
			return err
		}
		switch {
		case kind == frameRaft && len(raw) > 8:
			m := &pb.Message{}
			if err := proto.Unmarshal(raw[8:], m); err != nil {
				return wire.ErrBad
			}
			if m.GetFrom() != theirs.Disk {
				return wire.ErrForged
			}
			marks := binary.BigEndian.Uint64(raw)
			s.do(ctx, func() {
				if s.trusted(c, theirs, marks) {
					if h := s.heard[theirs.Broker]; h != nil && h.Disk == theirs.Disk {
						h.Blank = false
					}
					s.member.Step(m)
				}
			})
		case kind == frameFound:
			s.do(ctx, func() { s.found(raw) })
		default:
			return wire.ErrBad
		}
	}
}

// trusted is whether a disk is no older than it has been known to be: a process that opened it when it had seen fewer
// steps than another process has told of has an old copy, which has forgotten what it promised. Nothing of it counts,
// and it is told so. Of one process, words may overtake each other.
func (s *seat) trusted(c *wire.Conn, theirs wire.Hello, marks uint64) bool {
	known, ok := s.marks[theirs.Disk]
	switch {
	case !ok && len(s.marks) >= mostDisks: // disks come and go slowly: beyond so many, none is remembered
		clear(s.marks)
	case ok && known.process == theirs.Process:
		marks = max(marks, known.most)
	case ok && theirs.Opened < known.most:
		s.n.count("old disk refused")
		s.n.all.Go(func() { c.Write(frameOld, nil); c.Close() })
		return false
	}
	s.marks[theirs.Disk] = mark{theirs.Process, marks}
	return true
}

// met notes a broker that says hello as a peer.
func (s *seat) met(c *wire.Conn, theirs wire.Hello) {
	if theirs.Disk == 0 || theirs.Broker == s.n.stated.Broker {
		s.n.count("two of one name")
		s.n.log.WithField("broker", theirs.Broker).Error("fleet: another process says that it is this broker")
		c.Close()
		return
	}
	if !s.trusted(c, theirs, theirs.Marks) || len(s.heard) >= mostHeard {
		return
	}
	if was := s.heard[theirs.Broker]; was != nil && was.Process != theirs.Process && was.Disk != theirs.Disk {
		s.n.count("two of one name")
	}
	s.heard[theirs.Broker] = &heard{Hello: theirs, told: -1000}
	s.reseat()
}

// steer founds a council where none has been, tells its founding to those who have not heard it, and takes in new
// disks of its brokers.
func (s *seat) steer() {
	if s.store.Blank() {
		if err := s.begin(); err != nil {
			panic(err) // of the disk: the seat is over
		}
	}
	if raw := s.store.Founding(); raw != nil {
		for name, h := range s.heard {
			if p := s.peers[name]; p != nil && h.Blank && s.ticks-h.told > council.ElectionTicks && voter(raw, h.Disk) {
				h.told = s.ticks
				p.raw(frameFound, raw)
			}
		}
	}
	if _, leading := s.member.Lead(); !leading || s.ticks%council.ElectionTicks != 0 {
		return
	}
	seats := s.member.Seats()
	for _, o := range seats {
		if o.Learner && s.member.Promote(o.Disk, o.Instead) == nil {
			s.n.log.WithField("broker", o.Broker).Info("fleet: a new disk takes its seat in the council")
			return
		}
	}
	for _, o := range seats {
		h := s.heard[o.Broker]
		if h == nil || !h.Blank || slices.ContainsFunc(seats, func(o council.Seat) bool { return o.Disk == h.Disk }) {
			continue
		}
		if s.member.Admit(council.Seat{Disk: h.Disk, Broker: o.Broker, Addr: o.Addr}, o.Disk) == nil {
			s.n.log.WithField("broker", o.Broker).Info("fleet: a new disk of a broker of the council learns")
			return
		}
	}
}

func voter(founding []byte, disk uint64) bool {
	snap := &pb.Snapshot{}
	return proto.Unmarshal(founding, snap) == nil && slices.Contains(snap.GetMetadata().GetConfState().GetVoters(), disk)
}

// begin founds the council. Only the first broker that is named does, and only when all of them are there with blank
// disks: a broker that lost its disk is never a reason for another council beside the old one.
func (s *seat) begin() error {
	st := s.n.stated
	if st.Council[0].Broker != st.Broker {
		return nil
	}
	var seats []council.Seat
	for _, o := range st.Council {
		disk := s.store.Disk()
		if o.Broker != st.Broker {
			h := s.heard[o.Broker]
			if h == nil || !h.Blank {
				return nil
			}
			disk = h.Disk
		}
		if slices.ContainsFunc(seats, func(o council.Seat) bool { return o.Disk == disk }) {
			return nil
		}
		seats = append(seats, council.Seat{Disk: disk, Broker: o.Broker, Addr: o.Addr})
	}
	s.n.log.WithField("founding", st.Founding).Info("fleet: all of the council are there and blank: it is founded")
	return s.settle(council.Founding(seats, st.Terms, st.Founding))
}

// found takes the founding that another member tells.
func (s *seat) found(raw []byte) {
	if !s.store.Blank() || !voter(raw, s.store.Disk()) {
		return
	}
	snap := &pb.Snapshot{}
	if proto.Unmarshal(raw, snap) != nil {
		return
	}
	if err := s.settle(snap); err != nil {
		panic(err)
	}
}

func (s *seat) settle(snap *pb.Snapshot) error {
	if err := s.store.Found(snap); err != nil {
		return err
	}
	m, err := council.NewMember(s.store, raftLog{s.n.log})
	if err == nil {
		s.member = m
	}
	return err
}

// retire puts a disk aside that others have known further on, and begins with a new one.
func (s *seat) retire(disk uint64) {
	if s.store.Disk() != disk {
		return
	}
	s.n.log.Warn("fleet: others have known this seat's disk further on: it is an old copy, put aside")
	err := s.store.Close()
	if err == nil {
		err = s.n.world.Aside(s.n.stated.Dir)
	}
	if err == nil {
		err = s.open()
	}
	if err != nil {
		panic(err)
	}
	for name, p := range s.peers { // they have to hear of the new disk
		p.stop()
		delete(s.peers, name)
	}
	s.reseat()
}

// asked takes a client's question.
func (s *seat) asked(by *caller, q *question) {
	switch {
	case q.Status:
		s.publish()
		st := s.n.Status()
		st.Seat.Seats = s.views()
		by.tell(answered{Handle: q.Handle, Status: st})
	case q.Replace != nil:
		a := answered{Handle: q.Handle}
		if err := s.replace(*q.Replace); err != nil {
			a.Err = err.Error()
			if errors.Is(err, council.ErrElsewhere) {
				a.Lead, a.Addr = s.leader()
			}
		}
		by.tell(a)
	case q.Call != nil || q.Look != nil:
		s.handle++
		s.asks[s.handle] = asked{by, q.Handle}
		if q.Look != nil && (q.Look.Most < 0 || q.Look.Most > mostListed) {
			q.Look.Most = mostListed
		}
		if q.Call != nil && (len(s.news) < 2*s.n.stated.Terms.Sessions || s.news[q.Call.Session] != nil) {
			s.news[q.Call.Session] = by // others learn with their next answer
		}
		s.member.Ask(council.Request{Handle: s.handle, Call: q.Call, Look: q.Look})
	case q.News != nil:
		s.relay(by, q.News)
	default:
		by.tell(answered{Handle: q.Handle, Err: "nothing was asked"})
	}
}

func (s *seat) replace(r Replace) error {
	if _, leading := s.member.Lead(); !leading {
		return council.ErrElsewhere
	}
	i := slices.IndexFunc(s.member.Seats(), func(o council.Seat) bool { return o.Broker == r.Seat && !o.Learner })
	if i < 0 {
		return fmt.Errorf("%s has no seat in the council", r.Seat)
	}
	if r.Seat == s.n.stated.Broker { // who leads does not see itself out; the newcomer may not even know of it
		s.member.Transfer()
		return council.ErrElsewhere
	}
	h := s.heard[r.With]
	if h == nil || !h.Blank || h.Addr == "" {
		return fmt.Errorf("%s is not there with a blank disk: start it with this council stated, fleet.listen and fleet.dir", r.With)
	}
	return s.member.Admit(council.Seat{Disk: h.Disk, Broker: r.With, Addr: h.Addr}, s.member.Seats()[i].Disk)
}

// gone forgets a client whose connection has ended.
func (s *seat) gone(c *caller) {
	delete(s.hears, c)
	for h, a := range s.asks {
		if a.by == c {
			delete(s.asks, h)
			s.member.Forget(h)
		}
	}
	for id, o := range s.news {
		if o == c {
			delete(s.news, id)
		}
	}
}

// close hands the lead on, so that the council does not have to wait for its loss to be noticed.
func (s *seat) close(ctx context.Context) {
	done := make(chan struct{})
	if s.do(ctx, func() { s.member.Transfer(); close(done) }) {
		select {
		case <-done:
		case <-s.over:
		case <-ctx.Done():
		}
		select { // one more round of messages
		case <-time.After(3 * s.n.stated.Tick):
		case <-ctx.Done():
		}
	}
}

// raftLog has the library's lines for those who look closely only, and lets it end no process.
type raftLog struct{ *logrus.Logger }

func (l raftLog) Info(v ...any)               { l.Debug(v...) }
func (l raftLog) Infof(f string, v ...any)    { l.Debugf(f, v...) }
func (l raftLog) Warning(v ...any)            { l.Debug(v...) }
func (l raftLog) Warningf(f string, v ...any) { l.Debugf(f, v...) }
func (l raftLog) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLog) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

// peer sends to one other seat: it keeps a connection, and drops what cannot be sent.
type peer struct {
	s      *seat
	broker string
	addr   string
	out    chan frame
	stop   context.CancelFunc
}

type frame struct {
	kind byte
	raw  []byte
	disk uint64 // of Raft's messages
	snap bool
}

func (s *seat) newPeer(ctx context.Context, broker, addr string) *peer {
	ctx, stop := context.WithCancel(ctx)
	p := &peer{s, broker, addr, make(chan frame, queued), stop}
	s.n.all.Go(func() { p.run(ctx) })
	return p
}

func (p *peer) send(disk uint64, snap bool, marks uint64, raw []byte) {
	f := frame{frameRaft, append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(raw)), marks), raw...), disk, snap}
	select {
	case p.out <- f:
	default:
		p.s.n.count("peer queue full")
		p.s.member.Unreachable(disk)
		if snap {
			p.s.member.Sent(disk, false)
		}
	}
}

func (p *peer) raw(kind byte, raw []byte) {
	select {
	case p.out <- frame{kind: kind, raw: raw}:
	default:
	}
}

func (p *peer) run(ctx context.Context) {
	n := p.s.n
	least := 2 * n.stated.Tick
	wait := least
	for ctx.Err() == nil {
		var mine wire.Hello // of the disk that this connection speaks for
		p.s.introduce(&mine)
		if c, theirs, err := n.dial(ctx, p.addr, wire.Peer); err == nil && n.keep(ctx, c) {
			if theirs.Broker == p.broker {
				wait = least
				p.serve(ctx, c, mine.Disk)
			} else {
				n.count("peer of another name")
			}
			n.drop(c)
		}
		for drained := false; !drained; { // what waits is old
			select {
			case f := <-p.out:
				p.lost(ctx, f)
			default:
				drained = true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, 10*n.stated.Tick)
	}
}

func (p *peer) serve(ctx context.Context, c *wire.Conn, disk uint64) {
	gone := make(chan struct{})
	p.s.n.all.Go(func() {
		defer close(gone)
		for {
			kind, _, err := c.Read(0)
			if err != nil {
				return
			}
			if kind == frameOld {
				p.s.do(ctx, func() { p.s.retire(disk) })
			}
		}
	})
	for {
		select {
		case f := <-p.out:
			if err := c.Write(f.kind, f.raw); err != nil {
				p.lost(ctx, f)
				return
			}
			if f.snap {
				p.s.do(ctx, func() { p.s.member.Sent(f.disk, true) })
			}
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *peer) lost(ctx context.Context, f frame) {
	if f.disk != 0 {
		p.s.do(ctx, func() {
			p.s.member.Unreachable(f.disk)
			if f.snap {
				p.s.member.Sent(f.disk, false)
			}
		})
	}
}
