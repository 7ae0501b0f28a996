// Package fairshare decides which of many sources of work may use the processor next, so that sources which always have more work
// delay neither each other nor the rest of the program. It has no clock and no lock: callers pass the time and take care that calls
// do not overlap.
//
// Terms of this package:
//   - A source is what sends work, such as the connection of one client.
//   - A turn is the time during which a source's work may run. It begins when the queue grants it and ends when it is reported to.
//   - A burst is the processor time that the turns of all sources take without a pause between them.
//   - A source is heavy if its turns have lately taken more than Limits.LightBurst beyond Limits.LightShare; otherwise it is light. Light
//     sources go first.
//   - An urgent turn has no source. It goes before all others that wait, but no two urgent ones in a row do.
//
// Times are durations since an arbitrary start, which is the same in all calls.
package fairshare

import "time"

// maxLightInRow is how many turns light sources may get in a row while heavy ones wait.
const maxLightInRow = 8

// Limits are the limits of a Queue.
type Limits struct {
	// Slots is how many turns may run at once: the number of processors; at least 1.
	Slots int
	// Burst is how long the turns of all sources together may take before they pause.
	Burst time.Duration
	// Share is the share of the processor, above 0 and below 1, that the turns of all sources together may take while others want it: a
	// pause lasts as long as needed for that, or until EndPause.
	Share float64
	// FreeShare is the share of the processor, below Share, that they may take for good without a pause. What goes with the turns and is
	// not part of them takes time as well, so that the time between two turns is no pause.
	FreeShare float64
	// LightBurst is how much processor time one source may take at once and remain light.
	LightBurst time.Duration
	// LightShare is the share of the processor, below Share, that one source may take for good and remain light.
	LightShare float64
	// MaxTurn is how long a turn keeps its slot. One that takes longer goes on beside others: what it waits for may never come.
	MaxTurn time.Duration
}

// Source is the account of one source of work. The zero value has used nothing.
type Source struct {
	// use is how much processor time the source has used lately: it falls by LightShare.
	use time.Duration
	// countedAt is when use was last brought up to date.
	countedAt time.Duration
}

// Turn is one source's request for a turn, and then the turn. It may be used again once the turn has ended.
type Turn struct {
	// Source is whose turn it is; nil for an urgent turn.
	Source *Source
	// BegunAt is when the turn was granted; the Queue sets it.
	BegunAt time.Duration
	// holdsSlot is set while the turn counts towards Limits.Slots.
	holdsSlot bool
}

// Queue holds the turns that wait and those that run.
type Queue struct {
	// limits are the limits given to New.
	limits Limits
	// running are the turns that hold a slot, in the order in which they began.
	running []*Turn
	// urgent, light and heavy are the turns that wait, in the order in which they came: urgent ones, and those of light and of heavy
	// sources.
	urgent, light, heavy []*Turn
	// afterUrgent is set while the turn that was granted last among those that waited is an urgent one.
	afterUrgent bool
	// lightInRow is how many turns light sources got in a row while heavy ones waited.
	lightInRow int
	// debt is how much processor time the present burst has used, less what has been made up for since.
	debt time.Duration
	// countedAt is when debt was last brought up to date.
	countedAt time.Duration
	// pausing is set from when debt has reached Limits.Burst until it is made up for.
	pausing bool
}

// New returns a queue without turns.
func New(limits Limits) *Queue { return &Queue{limits: limits} }

// Request asks for a turn and reports whether it is granted at once. Otherwise it waits until Next returns it.
func (q *Queue) Request(turn *Turn, now time.Duration) (granted bool) {
	q.update(now)
	if q.Waiting() == 0 && q.mayBegin() {
		q.begin(turn, now)
		return true
	}
	switch {
	case turn.Source == nil:
		q.urgent = append(q.urgent, turn)
	case q.isHeavy(turn.Source, now):
		q.heavy = append(q.heavy, turn)
	default:
		q.light = append(q.light, turn)
	}
	return false
}

// End ends a turn that was granted, and reports whether a pause begins with that.
func (q *Queue) End(turn *Turn, now time.Duration) (pauseBegins bool) {
	q.update(now)
	q.release(turn)
	return q.Charge(turn.Source, min(now-turn.BegunAt, q.limits.MaxTurn), now)
}

// Charge counts processor time that a source has used outside a turn, and reports whether a pause begins with that. source may be nil.
func (q *Queue) Charge(source *Source, used, now time.Duration) (pauseBegins bool) {
	q.update(now)
	if source != nil {
		q.decay(source, now)
		source.use += used
	}
	q.debt += used / time.Duration(q.limits.Slots)
	pauseBegins = !q.pausing && q.debt >= q.limits.Burst
	q.pausing = q.pausing || pauseBegins
	return pauseBegins
}

// Pausing reports whether no turn may begin until the pause is over.
func (q *Queue) Pausing(now time.Duration) bool {
	q.update(now)
	return q.pausing
}

// EndPause ends a pause, as nobody else wants the processor.
func (q *Queue) EndPause() {
	if q.pausing {
		q.pausing = false
		q.debt = 0
	}
}

// Next returns the next turn that waits and may begin now, or nil. wakeAt is when Next is to be called again if it returns nil and
// nothing else happens before; 0 if no turn waits.
func (q *Queue) Next(now time.Duration) (granted *Turn, wakeAt time.Duration) {
	q.update(now)
	if q.Waiting() == 0 {
		return nil, 0
	}
	if q.pausing {
		return nil, now + q.pause()
	}
	if !q.mayBegin() {
		return nil, q.running[0].BegunAt + q.limits.MaxTurn
	}
	turn := q.take()
	q.begin(turn, now)
	return turn, 0
}

// SetSlots replaces Limits.Slots. Turns that run keep their slots.
func (q *Queue) SetSlots(slots int) { q.limits.Slots = slots }

// Waiting returns how many turns wait.
func (q *Queue) Waiting() int { return len(q.urgent) + len(q.light) + len(q.heavy) }

// take removes the turn that is next from those that wait, of which there must be one.
func (q *Queue) take() (turn *Turn) {
	if len(q.urgent) > 0 && (!q.afterUrgent || len(q.light)+len(q.heavy) == 0) {
		turn, q.urgent = takeFirst(q.urgent)
		q.afterUrgent = true
		return turn
	}
	q.afterUrgent = false
	if len(q.light) > 0 && (len(q.heavy) == 0 || q.lightInRow < maxLightInRow) {
		turn, q.light = takeFirst(q.light)
		q.lightInRow++
		return turn
	}
	q.lightInRow = 0
	turn, q.heavy = takeFirst(q.heavy)
	return turn
}

// takeFirst returns the first of the turns, and the others in the same memory.
func takeFirst(turns []*Turn) (first *Turn, others []*Turn) {
	first = turns[0]
	copy(turns, turns[1:])
	turns[len(turns)-1] = nil
	return first, turns[:len(turns)-1]
}

// mayBegin reports whether one more turn may run now.
func (q *Queue) mayBegin() bool { return !q.pausing && len(q.running) < q.limits.Slots }

// begin grants a turn.
func (q *Queue) begin(turn *Turn, now time.Duration) {
	turn.BegunAt = now
	turn.holdsSlot = true
	q.running = append(q.running, turn)
}

// release frees a turn's slot, unless it was freed before.
func (q *Queue) release(turn *Turn) {
	if !turn.holdsSlot {
		return
	}
	turn.holdsSlot = false
	for i, other := range q.running {
		if other == turn {
			copy(q.running[i:], q.running[i+1:])
			q.running[len(q.running)-1] = nil
			q.running = q.running[:len(q.running)-1]
			return
		}
	}
}

// update frees the slots of turns that have run for too long, and makes up for debt: by the time since the last update, unless turns
// were running, which are charged when they end. In a pause that goes by Limits.Share, otherwise by FreeShare.
func (q *Queue) update(now time.Duration) {
	if len(q.running) == 0 {
		share := q.limits.FreeShare
		if q.pausing {
			share = q.limits.Share
		}
		q.debt = max(q.debt-time.Duration(float64(now-q.countedAt)*share/(1-share)), 0)
		q.pausing = q.pausing && q.debt > 0
	}
	q.countedAt = now
	for len(q.running) > 0 && now-q.running[0].BegunAt >= q.limits.MaxTurn {
		q.release(q.running[0])
	}
}

// pause returns how long it takes to make up for the debt.
func (q *Queue) pause() time.Duration {
	// The rounding must not end the pause too early, or the caller would have to come again.
	return time.Duration(float64(q.debt)*(1-q.limits.Share)/q.limits.Share) + 1
}

// isHeavy reports whether a source is heavy now.
func (q *Queue) isHeavy(source *Source, now time.Duration) bool {
	q.decay(source, now)
	return source.use > q.limits.LightBurst
}

// decay brings the use of a source up to date.
func (q *Queue) decay(source *Source, now time.Duration) {
	source.use = max(source.use-time.Duration(float64(now-source.countedAt)*q.limits.LightShare), 0)
	source.countedAt = now
}
