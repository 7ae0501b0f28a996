package routing

import (
	"sync/atomic"
	"time"
)

const (
	// slowStep is how long a search may wait for this process at one step before it counts as slow. It is the slack of the
	// protocol's time limits.
	slowStep = 50 * time.Millisecond
	// slowReportInterval is the shortest time between two reports of slow searches, so that an overload does not flood the log.
	slowReportInterval = 100 * time.Millisecond
)

// SearchDelays says where one search spent its time in this process.
type SearchDelays struct {
	// Unread is the time from the arrival of its bytes at this machine until Search was called.
	Unread time.Duration
	// Queued is the time from then until the router accepted or refused it.
	Queued time.Duration
	// Routed is the time from then until its final answer was decided, most of which is its nodes'.
	Routed time.Duration
	// Woken is the time from then until Search returned.
	Woken time.Duration
}

// slow reports whether the search waited for this process for longer than slowStep at any step.
func (d SearchDelays) slow() bool { return max(d.Unread, d.Queued, d.Woken) > slowStep }

// SlowSearch describes a search that waited for this process for long, or that the router did not answer in time.
type SlowSearch struct {
	// ID is the id of the search.
	ID string
	// Class is the name of its class.
	Class string
	// Answered is false if its deadline passed, or its client left, before the router had decided on an answer. Queued and Woken are 0
	// then.
	Answered bool
	// Delays are the times that it spent.
	Delays SearchDelays
	// Suppressed is how many slow searches were not reported since the last report.
	Suppressed int64
}

// slowSearchReporter passes reports of slow searches on, at most one in slowReportInterval. The zero value counts and reports to nobody.
type slowSearchReporter struct {
	// report receives the reports; nil for none. It is called by the goroutines that call Search, and may wait.
	report func(SlowSearch)
	// lastReport is when report was last called, in nanoseconds after started; 0 before the first time.
	lastReport atomic.Int64
	// total is how many searches were slow.
	total atomic.Int64
	// suppressed is how many of them were not reported since the last report.
	suppressed atomic.Int64
}

// SetSlowSearchReport sets the function that is told of slow searches, on the goroutines that serve them. It must be called before
// Start.
func (r *Router) SetSlowSearchReport(report func(SlowSearch)) { r.slowSearches.report = report }

// SlowSearches returns how many searches waited for this process for longer than slowStep at one step, or were not answered by the
// router in time. Any goroutine may call it.
func (r *Router) SlowSearches() int64 { return r.slowSearches.total.Load() }

// noteDelays reports a search that has ended if it was slow. begunAt is when Search was called; answer is what the router decided, the
// zero value if nothing.
func (r *Router) noteDelays(search *activeSearch, arrivedAt, begunAt time.Time, answer pendingAnswer) {
	now := time.Now()
	slow := SlowSearch{ID: search.request.ID, Answered: !answer.decidedAt.IsZero()}
	slow.Delays = SearchDelays{Unread: begunAt.Sub(arrivedAt), Routed: now.Sub(begunAt)}
	if slow.Answered {
		// A turn may have begun before the search was queued.
		slow.Delays.Queued = max(answer.acceptedAt.Sub(begunAt), 0)
		slow.Delays.Routed = answer.decidedAt.Sub(answer.acceptedAt)
		slow.Delays.Woken = now.Sub(answer.decidedAt)
	}
	if !slow.Delays.slow() && (slow.Answered || now.Before(search.deadline)) {
		return
	}
	slow.Class = search.request.ClassName
	r.slowSearches.note(now.Sub(r.startTime), slow)
}

// note counts a slow search and reports it, unless the last report is too recent. now is a time since the router was made.
func (s *slowSearchReporter) note(now time.Duration, slow SlowSearch) {
	s.total.Add(1)
	last := s.lastReport.Load()
	if s.report == nil || last > 0 && now-time.Duration(last) < slowReportInterval || !s.lastReport.CompareAndSwap(last, int64(now)) {
		s.suppressed.Add(1)
		return
	}
	slow.Suppressed = s.suppressed.Swap(0)
	s.report(slow)
}
