// Package turns makes goroutines that read from peers take turns at the processor, as package fairshare decides. Without it a peer that
// sends without a pause keeps the processor: a goroutine that always finds something to read never waits, so that all others wait for
// the end of its time slice, and the runtime does not look which other sockets are readable.
package turns

import (
	"io"
	"sync"
	"time"

	"brackenfront/fairshare"
)

// Scheduler grants turns to the goroutines of one kind of peers, such as all clients.
type Scheduler struct {
	// startedAt is when the scheduler was made; the times of queue count from it.
	startedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// queue decides whose turn it is.
	queue *fairshare.Queue
	// waiting holds the turns that wait, by their entries in queue.
	waiting map[*fairshare.Turn]*Turn
	// timer calls grant when a pause ends or a running turn has lasted too long; nil before the first turn has waited.
	timer *time.Timer
	// pause is the number of the pause that is in progress or was the last.
	pause int
	// polling is set while endPauses waits for the runtime to look for sockets that are ready.
	polling bool
	// counts are the totals that Counts returns.
	counts Counts

	// poll is what endPauses waits with; nil if the system has none.
	poll *networkPoll
	// pauses makes endPauses wait, for the pause of that number.
	pauses chan int
	// ended is closed once endPauses has returned.
	ended chan struct{}
}

// Counts are totals since the start of a scheduler.
type Counts struct {
	// Turns is how many turns have ended.
	Turns int
	// Waited is how many of them had to wait.
	Waited int
	// LongestWait is the longest time that one of them waited.
	LongestWait time.Duration
	// Used is the time that all of them took, and what was charged besides.
	Used time.Duration
}

// NewScheduler returns a scheduler without turns, which has to be closed.
func NewScheduler(limits fairshare.Limits) *Scheduler {
	s := &Scheduler{startedAt: time.Now(), queue: fairshare.New(limits), waiting: map[*fairshare.Turn]*Turn{}, pauses: make(chan int, 1),
		ended: make(chan struct{})}
	// Without it pauses last as long as fairshare.Limits.Share says.
	s.poll, _ = newNetworkPoll()
	go s.endPauses(s.pauses)
	return s
}

// Close ends the scheduler's goroutine. Turns are granted after it as before.
func (s *Scheduler) Close() {
	s.mu.Lock()
	close(s.pauses)
	s.pauses = nil
	if s.poll != nil {
		s.poll.close()
	}
	s.mu.Unlock()
	<-s.ended
}

// endPauses ends each pause once the goroutines of all sockets that were ready at its beginning can run, and those that could run before
// have run: if they are done by then, nobody else wants the processor.
func (s *Scheduler) endPauses(pauses chan int) {
	defer close(s.ended)
	for pause := range pauses {
		for s.poll.wait() == nil && !s.endPause(&pause) {
		}
		s.mu.Lock()
		s.polling = false
		s.mu.Unlock()
	}
}

// endPause ends the pause of that number, and reports whether no pause is in progress then. It sets the number to that of a later pause
// which has begun meanwhile.
func (s *Scheduler) endPause(pause *int) (none bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.pause == *pause {
		s.queue.EndPause()
		s.grant(now)
	}
	*pause = s.pause
	return !s.queue.Pausing(now.Sub(s.startedAt))
}

// Turn is a peer's right to the processor; a nil Turn is one that is always granted.
type Turn struct {
	// scheduler grants the turn.
	scheduler *Scheduler
	// entry is the turn in the scheduler's queue.
	entry fairshare.Turn
	// granted receives a value when a turn that waited is granted.
	granted chan struct{}
	// held is set from when the turn is granted until it ends; the scheduler's lock guards it.
	held bool
}

// NewTurn returns a turn, not yet begun, of a source; nil if s is nil.
func (s *Scheduler) NewTurn(source *fairshare.Source) *Turn {
	if s == nil {
		return nil
	}
	return &Turn{scheduler: s, entry: fairshare.Turn{Source: source}, granted: make(chan struct{}, 1)}
}

// SetSlots replaces the number of turns that may run at once.
func (s *Scheduler) SetSlots(slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetSlots(slots)
}

// Waiting returns how many turns wait.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Waiting()
}

// Counts returns a copy of the totals.
func (s *Scheduler) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Begin waits until the turn is granted. It does nothing if the turn is held. Only one goroutine may call it and Continue.
func (t *Turn) Begin() {
	if t == nil {
		return
	}
	s := t.scheduler
	s.mu.Lock()
	if t.held {
		s.mu.Unlock()
		return
	}
	requestedAt := time.Now()
	if s.queue.Request(&t.entry, requestedAt.Sub(s.startedAt)) {
		t.held = true
		s.mu.Unlock()
		return
	}
	s.waiting[&t.entry] = t
	s.grant(requestedAt)
	s.mu.Unlock()
	<-t.granted
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waited++
	s.counts.LongestWait = max(s.counts.LongestWait, time.Since(requestedAt))
}

// End ends the turn, so that others may begin. It has to be called before the goroutine waits for anything, and when the source is gone.
// It does nothing if the turn is not held. Any goroutine may call it.
func (t *Turn) End() {
	if t == nil {
		return
	}
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if t.held {
		t.endLocked(time.Now())
	}
}

// longTurn is how long a turn may last before Continue ends it: a source may have many small things to work on.
const longTurn = 200 * time.Microsecond

// Continue is called between two pieces of work: it begins the turn, or if that has lasted for long, ends it and begins the next one.
func (t *Turn) Continue() {
	if t != nil {
		t.endAfter(longTurn)
		t.Begin()
	}
}

// endAfter ends the turn if it is held and has lasted for at least the given time.
func (t *Turn) endAfter(atLeast time.Duration) {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); t.held && now.Sub(s.startedAt)-t.entry.BegunAt >= atLeast {
		t.endLocked(now)
	}
}

// endLocked ends the turn, which is held. The scheduler's lock must be held.
func (t *Turn) endLocked(now time.Time) {
	s := t.scheduler
	sinceStart := now.Sub(s.startedAt)
	t.held = false
	s.counts.Turns++
	s.counts.Used += sinceStart - t.entry.BegunAt
	if s.queue.End(&t.entry, sinceStart) {
		s.notePause()
	}
	s.grant(now)
}

// Charge counts processor time that the turn's source has used without the turn.
func (t *Turn) Charge(used time.Duration) {
	if t == nil {
		return
	}
	now := time.Now()
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Used += used
	if s.queue.Charge(t.entry.Source, used, now.Sub(s.startedAt)) {
		s.notePause()
	}
}

// notePause makes endPauses end the pause that has just begun. s.mu must be held.
func (s *Scheduler) notePause() {
	s.pause++
	if s.poll != nil && s.pauses != nil && !s.polling {
		s.polling = true
		s.pauses <- s.pause
	}
}

// maxCharge bounds how much of the time that passed without a turn counts as processor time: what takes longer has waited.
const maxCharge = time.Millisecond

// ChargeSince charges the time since begunAt, in which the turn's source was served without the turn.
func (t *Turn) ChargeSince(begunAt time.Time) { t.Charge(min(time.Since(begunAt), maxCharge)) }

// Write writes to a socket of the turn's source and charges the time. As a write may wait for the peer, the turn must have ended.
func (t *Turn) Write(socket io.Writer, b []byte) (int, error) {
	if t == nil {
		return socket.Write(b)
	}
	begunAt := time.Now()
	n, err := socket.Write(b)
	t.ChargeSince(begunAt)
	return n, err
}

// grant grants the turns that may begin now, and sets the timer if others wait. s.mu must be held.
func (s *Scheduler) grant(now time.Time) {
	for {
		entry, wakeAt := s.queue.Next(now.Sub(s.startedAt))
		if entry == nil {
			if wakeAt > 0 {
				s.wakeAfter(wakeAt - now.Sub(s.startedAt))
			}
			return
		}
		turn := s.waiting[entry]
		delete(s.waiting, entry)
		turn.held = true
		turn.granted <- struct{}{}
	}
}

// wakeAfter sets the timer. s.mu must be held.
func (s *Scheduler) wakeAfter(delay time.Duration) {
	if s.timer != nil {
		s.timer.Reset(delay)
		return
	}
	s.timer = time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.grant(time.Now())
	})
}
