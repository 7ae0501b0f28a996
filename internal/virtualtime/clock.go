// Package virtualtime is a clock and event queue for simulations: events run in the order of their times, one at a time, and
// real time plays no part. The same events give the same run on any machine.
package virtualtime

import "container/heap"

// Clock is the time of a simulation and the queue of the events that are to run in it. The zero Clock stands at 0 seconds. It
// must not be used from several goroutines at once.
type Clock struct {
	// Now is the present time of the simulation, in seconds. A simulation may set it before its first event, to start at another
	// time than 0; after that only Step changes it.
	Now float64
	// pending holds the events that have not run: After adds one, and Step takes the next.
	pending eventQueue
	// scheduled is the number of calls of After so far, which is also event.number of the event scheduled last.
	scheduled int
}

// event is a function that a Clock calls at a set time of the simulation.
type event struct {
	// at is when the event runs, in seconds.
	at float64
	// number is 1 for the event that was scheduled first, 2 for the next one, and so on. Of events at the same time, the one with the
	// lowest number runs first.
	number int
	// run is the function to call.
	run func()
}

// eventQueue is a heap (container/heap) with the earliest event first.
type eventQueue []event

// Len returns the number of events in the queue. It is part of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether the event at index i runs before the one at index j: the earlier one runs first, and of two at the same time
// the one that was scheduled first. It is part of heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

// Swap exchanges the events at the indices i and j. It is part of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends x, which is an event, to the slice. It is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event of the slice and returns it. It is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// After schedules a function to run the given number of seconds after Now. Functions of the same time run in the order of their
// calls of After.
func (c *Clock) After(seconds float64, run func()) {
	c.scheduled++
	heap.Push(&c.pending, event{c.Now + seconds, c.scheduled, run})
}

// Step sets Now to the time of the next event and runs it. It returns false, and does nothing, if no event comes before the
// time until, in seconds.
func (c *Clock) Step(until float64) bool {
	if len(c.pending) == 0 || c.pending[0].at >= until {
		return false
	}
	next := heap.Pop(&c.pending).(event)
	c.Now = next.at
	next.run()
	return true
}
