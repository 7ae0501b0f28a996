package faultcheck

import (
	"time"
)

// Result is the outcome of one scenario, with its violations and counts.
type Result struct {
	// Case is the scenario that was run. The other fields describe that run.
	Case
	// Setting is what the brokers were started with; events may have changed it for single brokers.
	Setting Setting
	// Violations are all violations of rules that Check reports. This includes those that may need two processes of brokers which know
	// nothing of one another (Violation.OtherBroker).
	Violations []Violation
	// Err is set if the scenario could not be run to its end as planned.
	Err error
	// Deliveries is how many requests clients wrote, or began to write.
	Deliveries int
	// Succeeded is how many deliveries were answered by status 200 and a complete answer.
	Succeeded int
	// Refused is how many deliveries were answered by status 429 or 503.
	Refused int
	// Attempts is how many attempts came to nodes.
	Attempts int
	// Crashes is how many processes of brokers exited without a signal from the scenario. Unless Setting.MayCrash is set, each also adds an
	// error to Err.
	Crashes int
	// Injected is how often a fault was injected.
	Injected int
	// ReachedBytes is the set of byte positions at which a fault was injected, if the case's fault is one that can be injected at any
	// byte.
	ReachedBytes map[int]bool
	// BytePositions is the number of bytes at which the case's fault can be injected; 0 for a fault that is not injected at a byte.
	BytePositions int
	// Duration is how long the scenario took, from its start to the check of its history.
	Duration time.Duration
	// MaxSchedulingLag is the longest delay with which a goroutine of this process was scheduled during the scenario, as on a busy
	// machine.
	MaxSchedulingLag time.Duration
	// History is all that was recorded.
	History *History
}

// SplitViolations separates the violations of single brokers (own) from those that need two processes (between). For a request that went
// to two brokers, or to an earlier process of the same one, a broker cannot know what the other did without communication, which the
// contract does not require.
func (result *Result) SplitViolations() (own, between []Violation) {
	for _, v := range result.Violations {
		if v.OtherBroker {
			between = append(between, v)
		} else {
			own = append(own, v)
		}
	}
	return own, between
}

// count sets Deliveries, Succeeded, Refused and Attempts, the numbers of requests and attempts, from the history.
func (result *Result) count() {
	result.Deliveries, result.Attempts = len(result.History.Deliveries), len(result.History.Attempts)
	for _, d := range result.History.Deliveries {
		switch {
		case d.Complete && d.Status == 200:
			result.Succeeded++
		case d.Status == 503 || d.Status == 429:
			result.Refused++
		}
	}
}
