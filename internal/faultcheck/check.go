package faultcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Allowances of the rules, beside the contract's Slack.
const (
	// clientClosedAllowance is how long after its client closed the connection a search may still cause attempts. The operators state
	// this limit without slack.
	clientClosedAllowance = 100 * time.Millisecond
	// schedulingAllowance is how much later than its deadline plus Contract.Slack an answer may be read, for the scheduling of the client's
	// machine.
	schedulingAllowance = 50 * time.Millisecond
	// killDelay is added to the longest deadline of a broker's settings, or to maxDeadlineAtKill if that is less. SIGKILL may not be sent to
	// the broker before the sum has passed since SIGTERM.
	killDelay = 700 * time.Millisecond
	// maxDeadlineAtKill limits how long whoever stops a broker has to wait for long deadlines: if the longest deadline of its settings
	// exceeds this, SIGKILL may be sent maxDeadlineAtKill plus killDelay after SIGTERM. Requests still unanswered then need no answer.
	maxDeadlineAtKill = 3 * time.Second
	// deadlineAllowance is by how much the wait that an attempt states to its node may exceed the time that its client has left, because
	// the attempt takes time to reach the node.
	deadlineAllowance = 150 * time.Millisecond
	// shareAllowance is the rounding error that is tolerated where shares of an answer, from 0 to 1, are compared with a limit.
	shareAllowance = 1e-4
)

// Check reports all violations of the operators' contract that the history proves.
//
// It relies on the recorders for the order of events: a client takes WrittenAt before it writes the last byte, and a node takes
// EndedAt before it writes the last byte of a hit, fault or overload. Where an attempt may belong to several deliveries of the
// same search, it breaks a rule only if it does so for each of them.
func Check(history *History) []Violation {
	c := newChecker(history)
	for i := range history.Attempts {
		if len(c.origins[i]) == 0 {
			c.report(Violation{Rule: RuleUnrequested, Attempts: []int{i}, Detail: c.whyUnrequested(i)})
			continue
		}
		c.checkAttempt(i)
	}
	c.checkSecondSteps()
	for i := range history.Deliveries {
		c.checkRefusal(i)
		c.checkUnanswered(i)
		c.checkAnswer(i)
	}
	return c.violations
}

// part identifies what a search requests of one shard in one of its steps. The attempts of one part are those with equal values of this
// type.
type part struct {
	// search is the search's id.
	search string
	// shard is the number of the shard that is requested.
	shard int
	// secondStep is set for a part of the search's second step.
	secondStep bool
}

// part returns the part that the attempt belongs to.
func (a *Attempt) part() part { return part{a.Search, a.Shard, a.SecondStep} }

// checker checks one history. It holds indexes of the history, by which the checks of the rules find what belongs together; deliveries and
// attempts are named by their indices in the history.
type checker struct {
	// History is the history that is checked.
	*History
	// deliveriesBySearch holds, by search id, the indices in History.Deliveries of the search's deliveries.
	deliveriesBySearch map[string][]int
	// attemptsByPart holds, by part, the indices in History.Attempts of its attempts, in the order of arrival.
	attemptsByPart map[part][]int
	// attemptsBySearch holds, by search id, the indices in History.Attempts of the search's attempts, in the order of arrival.
	attemptsBySearch map[string][]int
	// earlierAttempts holds, by attempt index, the indices of the attempts of the same part that arrived before it, in the order of
	// arrival.
	earlierAttempts [][]int
	// processes holds, by delivery index, the process that received the delivery.
	processes []processID
	// origins holds, by attempt index, the indices of the deliveries that may have caused the attempt; none if no client requested it.
	origins [][]int
	// violations are the violations found so far.
	violations []Violation
}

// newChecker returns a checker of the history, with its indices built and no rule checked yet.
func newChecker(history *History) *checker {
	c := &checker{
		History:            history,
		deliveriesBySearch: map[string][]int{},
		attemptsByPart:     map[part][]int{},
		attemptsBySearch:   map[string][]int{},
	}
	for i := range history.Deliveries {
		id := history.Deliveries[i].Search
		c.deliveriesBySearch[id] = append(c.deliveriesBySearch[id], i)
	}
	c.earlierAttempts = make([][]int, len(history.Attempts))
	for _, i := range c.attemptsByArrival() {
		attempted := history.Attempts[i].part()
		c.earlierAttempts[i] = slices.Clone(c.attemptsByPart[attempted])
		c.attemptsByPart[attempted] = append(c.attemptsByPart[attempted], i)
		c.attemptsBySearch[attempted.search] = append(c.attemptsBySearch[attempted.search], i)
	}
	c.processes = processesOfDeliveries(history)
	c.origins = c.findOrigins()
	return c
}

// attemptsByArrival returns the indices of all attempts in the order in which they arrived. Of several that arrived at the same time, those
// that are proven by then not to have run come first, so that a tie is never a violation.
func (c *checker) attemptsByArrival() []int {
	order := make([]int, len(c.Attempts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := &c.Attempts[i], &c.Attempts[j]
		if arrived := a.ArrivedAt.Compare(b.ArrivedAt); arrived != 0 {
			return arrived
		}
		return cmp.Compare(tieRank(a), tieRank(b))
	})
	return order
}

// tieRank returns 0 for an attempt that was proven at its arrival not to have run, and 1 for others. Of attempts that arrived at the same
// time, attemptsByArrival puts those with the lower rank first.
func tieRank(a *Attempt) int {
	if a.provenNotRunBy(a.ArrivedAt) {
		return 0
	}
	return 1
}

// neverRan reports whether the node answered that it rejected the attempt without running it, and did not run it.
func (a *Attempt) neverRan() bool { return a.Outcome == Overload && !a.Ran && !a.EndedAt.IsZero() }

// provenNotRunBy reports whether the node had answered by t that it rejected the attempt without running it, and did not run it.
func (a *Attempt) provenNotRunBy(t time.Time) bool { return a.neverRan() && !a.EndedAt.After(t) }

// earliestArrival returns the earliest time at which the attempt may have arrived.
func (a *Attempt) earliestArrival() time.Time {
	if a.AbsentAt.IsZero() || a.ArrivedAt.Before(a.AbsentAt) {
		return a.ArrivedAt
	}
	return a.AbsentAt
}

// inFlightAt reports whether an attempt that arrived at t or earlier is certainly still in flight at t.
//
// With the attempt, the broker stated how long it waits for the answer (BrokerWait). If the attempt ended within that time of its
// earliest arrival, it is in flight until its recorded end, with no tolerance. Otherwise it times out when BrokerWait is over, as the
// protocol has it; here it counts as in flight until slack before that, because the broker measures the wait from before it wrote the frame.
func (a *Attempt) inFlightAt(t time.Time, slack time.Duration) bool {
	limit := a.earliestArrival().Add(a.BrokerWait)
	if !a.EndedAt.IsZero() && !a.EndedAt.After(limit) {
		return a.EndedAt.After(t)
	}
	return limit.Add(-slack).After(t)
}

// mayHaveEndedBefore reports whether the attempt may have ended before other arrived, although its recorded arrival is later than other's. It
// may if its arrival is not dated exactly (see Attempt.AbsentAt).
func (a *Attempt) mayHaveEndedBefore(other *Attempt, slack time.Duration) bool {
	return a.earliestArrival().Before(other.ArrivedAt) && !a.inFlightAt(other.ArrivedAt, slack)
}

// overlapsFrom returns the time from which on the attempt counts as in flight beside earlier attempts of its part.
func (a *Attempt) overlapsFrom() time.Time {
	if a.OverlapsFrom.IsZero() {
		return a.ArrivedAt
	}
	return a.OverlapsFrom
}

// report adds a violation to checker.violations. If the violation names no search, report sets its search and shard to those of the last
// attempt that the violation lists.
func (c *checker) report(v Violation) {
	if v.Search == "" {
		last := &c.Attempts[v.Attempts[len(v.Attempts)-1]]
		v.Search, v.Shard = last.Search, last.Shard
	}
	c.violations = append(c.violations, v)
}

// describe returns the text that stands for an attempt in a violation's Detail: its index, its step if that is the second one, its node and
// its outcome.
func (c *checker) describe(attemptIndex int) string {
	a := &c.Attempts[attemptIndex]
	step := ""
	if a.SecondStep {
		step = " of the second step"
	}
	return fmt.Sprintf("attempt %d%s at node %s (%v)", attemptIndex, step, a.Node, a.Outcome)
}
