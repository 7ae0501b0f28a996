package faultcheck

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// socketPollInterval is the time between two inspections of the socket of a connection that its node does not read.
	socketPollInterval = time.Millisecond
	// absencePollInterval is the time between two inspections, on every connection, of how many bytes have not come yet. It bounds, on
	// a machine that has processors to spare, how inexact the date of a frame is that lay unread together with later bytes.
	absencePollInterval = 5 * time.Millisecond
)

// arrival is a time together with a number of bytes on a connection: a time by which so many had arrived (nodeConnection.arrivals), or at
// which no more had (nodeConnection.absences).
type arrival struct {
	// at is that time.
	at time.Time
	// bytes is the number of bytes, counted from the connection's start.
	bytes int
}

// inspectSocket records how many bytes the system has received so far, and whether the broker has closed its side, whether or not the
// node has read them. Without it, a give-up would be dated too late if the goroutine that reads it was scheduled late.
//
// Bytes are dated at the inspection that first saw them, never earlier. A close is dated just after the previous inspection, which saw
// none: the attempts that it ends have not been read, so that no other connection's attempts wait for it (see arrivalInOrder).
func (c *nodeConnection) inspectSocket() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended, before := false, time.Now()
	c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		// The time is taken after the count, so that all of the counted bytes had arrived by then.
		c.noteArrival(time.Now(), int(info.Bytes_received))
		ended = info.State != unix.BPF_TCP_ESTABLISHED
	})
	switch {
	case !ended:
		c.lastSeenOpen = before
	case c.brokerEndedAt.IsZero():
		at := c.node.lag.earliestTime().Add(-socketPollInterval)
		if at.Before(c.lastSeenOpen) {
			at = c.lastSeenOpen
		}
		c.noteBrokerEndSince(at)
	}
}

// watchAbsence calls noteAbsence every absencePollInterval until done is closed.
func (c *nodeConnection) watchAbsence(done <-chan struct{}) {
	ticker := time.NewTicker(absencePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			c.noteAbsence()
		}
	}
}

// noteAbsence records in absences how many bytes have come so far, whether or not the node has read them: all later bytes had not come
// just before.
func (c *nodeConnection) noteAbsence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := time.Now()
	c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		received := arrival{before, int(info.Bytes_received)}
		if last := len(c.absences) - 1; last >= 0 && c.absences[last].bytes == received.bytes {
			c.absences[last] = received
		} else {
			c.absences = append(c.absences, received)
		}
	})
}

// absentAt returns the latest recorded time at which the last of a total of the given number of bytes had not come on the connection; zero
// if none is recorded. It removes the records that are of no use for later bytes.
func (c *nodeConnection) absentAt(bytes int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	fewer := slices.IndexFunc(c.absences, func(a arrival) bool { return a.bytes >= bytes })
	if fewer < 0 {
		fewer = len(c.absences)
	}
	if fewer == 0 {
		return time.Time{}
	}
	c.absences = slices.Delete(c.absences, 0, fewer-1)
	return c.absences[0].at
}

// dateReset dates a reset by the broker that is noticed while a part is received; partArrivedAt is when that part arrived. The reset
// carries no timestamp, but came after the part and after the last inspection that saw none; it is dated at the earliest time that
// satisfies both.
func (c *nodeConnection) dateReset(partArrivedAt time.Time) {
	c.inspectSocket()
	c.mu.Lock()
	defer c.mu.Unlock()
	since := partArrivedAt
	if c.lastSeenOpen.After(since) {
		since = c.lastSeenOpen
	}
	if !c.endedByNode && since.Before(c.brokerEndedAt) && c.tcpState() == unix.BPF_TCP_CLOSE {
		c.brokerEndedAt = since
	}
}

// tcpState returns the connection's TCP state as the system reports it (such as unix.BPF_TCP_CLOSE), or 0 if it does not.
func (c *nodeConnection) tcpState() (state uint8) {
	c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

// noteArrival records that a total of the given number of bytes had arrived on the connection by the time at. Calls can come out of order:
// an inspection may have recorded more bytes before a read reports an earlier time. The caller holds mu.
func (c *nodeConnection) noteArrival(at time.Time, bytes int) {
	place := slices.IndexFunc(c.arrivals, func(a arrival) bool { return a.bytes >= bytes })
	switch {
	case place < 0:
		place = len(c.arrivals)
		c.arrivals = append(c.arrivals, arrival{at, bytes})
	case c.arrivals[place].bytes > bytes:
		c.arrivals = slices.Insert(c.arrivals, place, arrival{at, bytes})
	}
	// Any smaller number of bytes had arrived by that time, too.
	for i := range c.arrivals[:place+1] {
		if at.Before(c.arrivals[i].at) {
			c.arrivals[i].at = at
		}
	}
}

// arrivalTime returns when a total of the given number of bytes had arrived on the connection. It removes the records of fewer bytes, and
// keeps only the time of the last of them, in forgottenArrival.
func (c *nodeConnection) arrivalTime(bytes int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.arrivals) > 0 && c.arrivals[0].bytes < bytes {
		c.forgottenArrival = c.arrivals[0].at
		c.arrivals = c.arrivals[1:]
	}
	if len(c.arrivals) == 0 {
		return time.Now()
	}
	return c.arrivals[0].at
}

// earliestArrival returns the earliest time at which the last of a total of the given number of bytes can have arrived on the connection,
// if all of them had arrived by the time by. Bytes that a node reads late together with later ones have only one timestamp, that of the
// last byte.
func (c *nodeConnection) earliestArrival(bytes int, by time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) == 0 || c.arrivals[0].bytes <= bytes || c.forgottenArrival.IsZero() {
		return by
	}
	return c.forgottenArrival
}

// noteBrokerEnd records and returns when the broker ended the connection, which has just been noticed. The system reports when the last
// packet came, which is the time of the end if the broker closed without a reset; a reset carries no time. The caller holds mu.
func (c *nodeConnection) noteBrokerEnd() time.Time {
	return c.noteBrokerEndSince(c.node.lag.earliestTime())
}

// noteBrokerEndSince records and returns when the broker ended the connection, as noteBrokerEnd does; at is the time that is taken if the
// system does not report one. The caller holds mu.
func (c *nodeConnection) noteBrokerEndSince(at time.Time) time.Time {
	c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT {
			at = time.Now().Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
		}
	})
	if c.brokerEndedAt.IsZero() || at.Before(c.brokerEndedAt) {
		c.brokerEndedAt = at
	}
	return c.brokerEndedAt
}

// crossingTolerance is the longest time by which data on two connections may arrive out of the order in which the broker sent it: neither
// a network nor a busy system preserves the order of different connections. It is short compared with the overlap of a real second copy.
const crossingTolerance = 5 * time.Millisecond

// arrivalInOrder returns the time at which an attempt counts as having arrived, so that data that overtook other data on another
// connection is no violation. If another attempt of its part is pending on another connection and ends within crossingTolerance, the
// attempt is dated just after that end. An attempt that was on its way when the node closed its side was sent before the broker noticed
// the close, and is dated before other attempts that have arrived since.
func (c *nodeConnection) arrivalInOrder(request partRequest, arrivedAt time.Time) time.Time {
	c.mu.Lock()
	ended, endedAt := c.endedByNode, c.endedByNodeAt
	c.mu.Unlock()
	switch {
	case ended && arrivedAt.Sub(endedAt) < crossingTolerance:
		return c.node.recorder.beforeOtherAttempts(request, endedAt, arrivedAt)
	case ended:
		return arrivedAt
	}
	c.node.awaitAttemptEnd(c, request.id)
	return c.node.recorder.afterOtherEnds(request, arrivedAt, arrivedAt.Add(crossingTolerance))
}
