package lease

// HoldDeadline is the hold deadline of a process: the time, in seconds of its own clock, until which it may operate under
// its leases. Its zero value says that the process may not operate at all.
type HoldDeadline struct {
	// at is the deadline, in seconds of the holder's clock; 0 if there is none.
	at float64
}

// Renewed moves the deadline to Config.HoldTimeout after sent, and never back. sent is the time, in seconds of the holder's
// clock, at which a call was sent that the council has answered.
func (d *HoldDeadline) Renewed(sent float64, config Config) {
	d.at = max(d.at, sent+config.HoldTimeout())
}

// Time returns the deadline, in seconds of the holder's clock; 0 if there is none.
func (d *HoldDeadline) Time() float64 { return d.at }

// ClockComparison compares the rate of this process's clock with that of the council's leader, by the times that answers
// state. No deadline depends on it: it only serves to report a clock that drifts by more than Config.MaxClockDrift.
type ClockComparison struct {
	// started is whether a window, the span of time over which the two clocks are compared, has begun. The first answer of the
	// council begins one.
	started bool

	// windowStart is the time, in seconds of this process's clock, at which the call was sent whose answer began the window.
	windowStart float64

	// councilStart is the council's time, in seconds, at the beginning of the window.
	councilStart float64

	// rate is an upper bound of the rate of this process's clock relative to the council's, in seconds per second, over the
	// window until the last answer; 0 if it is not known yet.
	rate float64
}

// comparisonWindow is the length, in seconds of the council's time, of the window of a ClockComparison: the first answer from
// after its end begins a new window, so that a later change of a clock's rate is noticed as well.
const comparisonWindow = 100.0

// Record updates the comparison of the clocks with one call to the council. sent and received are the times, in seconds of
// this process's clock, at which the call was sent and its answer received; councilTime is the council's time in seconds that
// the answer states.
func (c *ClockComparison) Record(sent, received, councilTime float64) {
	elapsed := councilTime - c.councilStart
	if c.started && elapsed > 0 {
		c.rate = (received - c.windowStart) / elapsed
	}
	if !c.started || elapsed < 0 || elapsed > comparisonWindow {
		c.started = true
		c.windowStart = sent
		c.councilStart = councilTime
	}
}

// TooSlow returns the rate of this process's clock relative to the council's, in seconds per second (0 if not known yet), and
// whether it is slower than possible for two clocks whose rates are within maxDrift, a fraction, of 1. Only a slow clock makes
// leases overlap, and only a slow one can be detected for certain: the council's time stands still between leaders.
func (c *ClockComparison) TooSlow(maxDrift float64) (rate float64, tooSlow bool) {
	return c.rate, c.rate > 0 && c.rate < (1-maxDrift)/(1+maxDrift)
}
