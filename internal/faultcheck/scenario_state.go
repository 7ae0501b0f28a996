package faultcheck

// countInjection adds one to injected, the number of faults injected so far. It is called once for each search that a fault delivers, each
// reaction and each end of a connection that a fault plans, each event (some events call it again for what they repeat), and each fault that
// consists of its setting alone.
func (r *scenarioRun) countInjection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected++
}

// nextBytePosition returns the byte at which a fault is to be injected next, counted from 0 and below positions, the number of bytes at
// which the fault can be injected. It records positions in bytePositions.
func (r *scenarioRun) nextBytePosition(positions int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytePositions = positions
	r.nextBytePositionCalls++
	if r.BytePosition != everyBytePosition {
		return r.BytePosition
	}
	// The scenario of the next seed continues near the position where this one ends.
	return (int(r.Seed-1)*bytePositionsPerScenario + r.nextBytePositionCalls - 1) % positions
}

// noteByteReached records in reachedBytes that a fault was injected at a byte.
func (r *scenarioRun) noteByteReached(position int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachedBytes[position] = true
}

// setNodeFailure sets the name of the node failure that is injected for a search from now on; "" for none. The faults' react functions
// read it with nodeFailureOf, and choose the nodes' reaction.
func (r *scenarioRun) setNodeFailure(searchID, failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodeFailures[searchID] = failure
}

// nodeFailureOf returns the name of the node failure that is injected for a search; "" for none.
func (r *scenarioRun) nodeFailureOf(searchID string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodeFailures[searchID]
}

// milestone identifies something that happens once for a search or a part, such as the end of a time, and that nodes wait for before they
// react to an attempt.
type milestone struct {
	// kind says what has to happen for the milestone to be reached.
	kind milestoneKind
	// id is the search's id or, for milestonePartRepeated, the part's id, " at " and the node's name.
	id string
}

// milestoneKind says what has to happen for a milestone to be reached.
type milestoneKind int

const (
	// milestonePartRepeated is the milestone that a second attempt of the part has come to the same node.
	milestonePartRepeated milestoneKind = iota
	// milestoneWindowPassed is the milestone that the sum of Class.Window, Contract.Slack and afterWindowMargin has passed since the
	// search's first attempt that may have run.
	milestoneWindowPassed
	// milestoneLongClosed is the milestone that longAfterClose has passed since the search's client closed its connection: the broker may
	// no longer send attempts of the search.
	milestoneLongClosed
)

// milestoneChannel returns the channel that is closed once the milestone has been reached.
func (r *scenarioRun) milestoneChannel(m milestone) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.milestones[m] == nil {
		r.milestones[m] = make(chan struct{})
	}
	return r.milestones[m]
}

// reachMilestone records that a milestone has been reached, by closing its channel. It may be called more than once.
func (r *scenarioRun) reachMilestone(m milestone) {
	reached := r.milestoneChannel(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-reached:
	default:
		close(reached)
	}
}
