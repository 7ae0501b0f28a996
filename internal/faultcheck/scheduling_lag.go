package faultcheck

import (
	"sync/atomic"
	"time"
)

const (
	// lagInterval is the time between two measurements of the scheduling lag.
	lagInterval = time.Millisecond
	// lagSamples is how many of the newest measurements count in recentMax.
	lagSamples = 100
)

// schedulingLag measures how late goroutines of this process are scheduled, as on a busy machine. The end of a connection, unlike its
// bytes, has no timestamp from the system, and is noticed late by that delay.
type schedulingLag struct {
	// recentMax is the longest delay of the newest lagSamples measurements, in nanoseconds (a time.Duration).
	recentMax atomic.Int64
	// overallMax is the longest delay of all measurements, in nanoseconds (a time.Duration).
	overallMax atomic.Int64
}

// measure sleeps for lagInterval again and again, and records by how much later it wakes than it should, until stop is closed.
func (l *schedulingLag) measure(stop <-chan struct{}) {
	var newest [lagSamples]time.Duration
	for i := 0; ; i++ {
		before := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		newest[i%lagSamples] = time.Since(before) - lagInterval
		longest := time.Duration(0)
		for _, late := range newest {
			longest = max(longest, late)
		}
		l.recentMax.Store(int64(longest))
		l.overallMax.Store(max(l.overallMax.Load(), int64(longest)))
	}
}

// earliestTime returns the earliest time at which an event that is noticed now may have happened: now minus recentMax.
func (l *schedulingLag) earliestTime() time.Time {
	return time.Now().Add(-time.Duration(l.recentMax.Load()))
}
