package routing

import (
	"slices"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/transport/parts"
)

// lateTurnTicks is how much later than Router.wakeAt a turn may begin, in units of the setting Tick. If a turn is later than
// that, the process may have been paused, and the router checks first whether clients have disconnected meanwhile.
const lateTurnTicks = 2

// run is the router's goroutine: until Stop is called, it begins a turn when a function is queued and when the timer fires,
// and runs in it at most as many queued functions as the queue has room for, and one more. A panic in it is meant to end the
// process, as the program must not accept searches without this goroutine.
func (r *Router) run() {
	defer close(r.ended)
	for {
		r.armTimer()
		select {
		case call := <-r.callQueue:
			r.beginTurn()
			call()
			r.sendFinalAnswers()
		case <-r.timer.C:
			r.beginTurn()
		case <-r.stop:
			return
		}
		for range cap(r.callQueue) {
			select {
			case call := <-r.callQueue:
				call()
				r.sendFinalAnswers()
				continue
			default:
			}
			break
		}
		r.expireAttempts()
		r.sendFinalAnswers()
		r.finishTurn()
	}
}

// beginTurn begins a turn: it reads the clock, ends the searches whose clients have disconnected if the turn is late
// (lateTurnTicks), and passes the allowance to the broker if it has changed.
func (r *Router) beginTurn() {
	r.turnTime = time.Now()
	r.now = r.startSeconds + r.turnTime.Sub(r.startTime).Seconds()
	r.counts.Turns++
	late := r.wakeAt > 0 && r.now > r.wakeAt+lateTurnTicks*r.deployment.Settings.Tick
	r.broker.BeginTurn(r.now)
	if late {
		r.endDisconnectedSearches()
	}
	if r.allowances != nil {
		if allowance := r.allowances.CurrentAllowance(); allowance != r.allowance {
			r.allowance = allowance
			r.broker.SetAllowance(allowance)
		}
	}
}

// endDisconnectedSearches ends the searches whose clients have closed their connections. After a pause of this process, the
// router may run before the goroutines that read from the clients' connections; without this check the broker would decide on
// attempts for clients that have left.
func (r *Router) endDisconnectedSearches() {
	for _, search := range r.searchesByID {
		if !search.ended && search.clientDisconnected(r.turnTime) {
			r.handleClientLeft(search)
		}
	}
}

// finishTurn ends a turn: it runs the deferred calls, lets the broker decide on attempts, and sends these. If deciding and
// sending have added deferred calls, it begins another turn for them, and so on until none is left. At the end it reports
// the changes of zones' stages. Queued functions are left for the next turn that run begins.
func (r *Router) finishTurn() {
	for {
		for len(r.deferredCalls) > 0 {
			call := r.deferredCalls[0]
			r.deferredCalls = r.deferredCalls[1:]
			call()
			r.sendFinalAnswers()
		}
		r.broker.EndTurn()
		r.sendFinalAnswers()
		r.sendBatches()
		if len(r.deferredCalls) == 0 {
			r.reportZoneChanges()
			return
		}
		r.beginTurn()
	}
}

// sendBatches passes the attempts that the broker has decided on in this turn to the nodes' backends, in calls of at most
// Settings.MaxPartsPerCall parts each, and empties the batches.
func (r *Router) sendBatches() {
	r.dropUnwantedAttempts()
	for _, node := range r.batchNodes {
		batch := r.batches[node]
		for maxParts := max(r.deployment.Settings.MaxPartsPerCall, 1); len(batch) > 0; {
			n := min(maxParts, len(batch))
			r.nodeBackends[node].Send(r.nodeAddrs[node], batch[:n])
			r.counts.Calls++
			batch = batch[n:]
		}
		clear(r.batches[node])
		r.batches[node] = r.batches[node][:0]
	}
	r.batchNodes = r.batchNodes[:0]
}

// dropUnwantedAttempts removes from the batches of this turn the attempts that must not be sent any more because their
// search's SendPermission is withdrawn. Before that, it ends the searches whose clients have closed their connections, which
// may not have been noticed after a pause of this process or if many clients leave at once; disconnectedBeforeSend says when
// a connection is checked.
func (r *Router) dropUnwantedAttempts() {
	if len(r.batchNodes) == 0 {
		return
	}
	now := time.Now()
	for _, node := range r.batchNodes {
		for _, attempt := range r.batches[node] {
			search := attempt.Owner.(*activeSearch)
			// If the permission is withdrawn, the notification of that is already in the router's queue.
			if !search.ended && (attempt.Permission.Withdrawn() || search.disconnectedBeforeSend(attempt, now, r.turnTime)) {
				r.handleClientLeft(search)
			}
		}
		r.batches[node] = slices.DeleteFunc(r.batches[node], r.dropWithdrawn)
	}
}

// dropWithdrawn reports whether an attempt must not be sent because its search's SendPermission is withdrawn, as the client has
// left or the final answer is decided. If so, a deferred call reports to the broker that the attempt was not sent, unless it
// has ended otherwise by then.
func (r *Router) dropWithdrawn(attempt *parts.Attempt) bool {
	if !attempt.Permission.Withdrawn() {
		return false
	}
	part := attempt.Owner.(*activeSearch).parts[attempt.PartIndex]
	r.deferredCalls = append(r.deferredCalls, func() {
		if part.attempt == attempt {
			r.finishAttempt(part, balance.NotSent)
		}
	})
	return true
}

// armTimer sets the timer to wakeAt, when the broker wants the next turn to begin at the latest.
func (r *Router) armTimer() {
	if !r.timer.Stop() {
		select {
		case <-r.timer.C:
		default:
		}
	}
	r.timer.Reset(time.Duration((r.wakeAt - r.clockSeconds()) * float64(time.Second)))
}

// clockSeconds returns the current time of the broker's clock, in seconds.
func (r *Router) clockSeconds() float64 { return r.startSeconds + time.Since(r.startTime).Seconds() }

// toTime converts a time of the broker's clock, in seconds, to a time of the system's clock.
func (r *Router) toTime(seconds float64) time.Time {
	return r.startTime.Add(time.Duration((seconds - r.startSeconds) * float64(time.Second)))
}
