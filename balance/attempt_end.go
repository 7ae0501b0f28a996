package balance

// This file takes in how attempts end: what that says of the node, of the search class and of the load, and what
// becomes of the part.

// Outcome says how an attempt of a part ended: with an answer, or in which of several ways without one.
type Outcome uint8

const (
	// OK means that the node answered the part.
	OK Outcome = iota
	// Failed means that the node answered with an error. The attempt may have run.
	Failed
	// Overloaded means that the node refused the attempt, without starting it, because its queue was full. It has not
	// run.
	Overloaded
	// TimedOut means that no answer came in time. The attempt may have run, or may still run.
	TimedOut
	// Unreachable means that no connection to the node could be opened. The attempt has not run.
	Unreachable
	// ConnectionLost means that the connection broke after the attempt was sent. It may have run.
	ConnectionLost
	// Cancelled means that the attempt was cancelled by Host.Cancel. It may have run.
	Cancelled
	// NotSent means that the attempt was never sent. It has not run.
	NotSent
)

// NeverRan says whether an outcome proves that its attempt has not run and never will: the node said so, the attempt
// was not sent completely, or it was never sent. Every other outcome proves nothing, or proves that the attempt ran.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == Unreachable || o == NotSent }

// AttemptEnded reports how the newest attempt of a part ended. partIndex is what AddPart returned, took the time in
// seconds since the attempt was sent. Reports for a part that has no attempt in flight are ignored. This call may make
// the broker answer, reject or fail the search.
func (s *Search) AttemptEnded(partIndex int, outcome Outcome, took float64) {
	broker := s.broker
	part := s.parts[partIndex]
	if part.state != partInFlight {
		return
	}
	node := broker.recordAttemptEnd(part)
	class := s.class
	part.state = partWaiting
	if part.attempts > 1 && broker.stalledFor == 0 {
		broker.adjustPatience(class, outcome, took)
	}
	broker.learnFromOutcome(node, part, class, outcome, took)
	// A part that is late although its node has answered parts sent later was lost or is costly; it is no sign of
	// overload.
	if broker.stalledFor == 0 &&
		(outcome == Overloaded || outcome == OK || part.overdue && part.sentAt > node.latestAnsweredSend) {
		late := outcome == Overloaded || broker.now-part.sentAt > lateReplyTargetShare*class.latencyTarget
		broker.adjustConcurrencyLimit(late)
	}
	switch {
	case s.ended:
		broker.releaseSlot(s)
		return
	case part.index < s.stepStart:
		return
	case part.state == partAnswered:
		s.answeredWeight += part.weight
	case !broker.mayRetry(part):
		part.state = partFailed
		s.lostWeight += part.weight
	default:
		s.partsWaiting++
	}
	s.settle()
}

// learnFromOutcome records what the outcome of an attempt shows of the node's health and of whether the part may have
// run, and marks the part as answered if the outcome is OK. took is the time in seconds since the attempt was sent.
func (b *Broker) learnFromOutcome(node *nodeState, part *searchPart, class *classState, outcome Outcome, took float64) {
	switch outcome {
	case OK:
		part.state = partAnswered
		b.recordAnswer(node, part, class, took)
	case Unreachable:
		b.reportFailureToZoneGuard(part.node, false)
		b.recordFailure(node, wholeNodeFailureWeight)
	case Failed, TimedOut, ConnectionLost:
		b.reportFailureToZoneGuard(part.node, false)
		// An overdue part was recorded as a failure when it became overdue.
		if !part.overdue {
			b.recordFailure(node, 1)
		}
	}
	if outcome == Overloaded {
		// A full queue counts as a long wait.
		node.latency = max(node.latency, failureLagShare*b.shortestTarget)
		node.latencyAt = b.now
	} else if outcome == Failed || outcome == Unreachable || outcome == ConnectionLost {
		node.failedAt = b.now
	}
	if !outcome.NeverRan() {
		part.execution.recordAttempt(part.sentAt)
	}
}
