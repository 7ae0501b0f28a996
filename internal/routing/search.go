package routing

import (
	"context"
	"time"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// Search runs one search, which arrived at the time arrivedAt, and waits for its final answer. The frontend writes the
// answer and then calls its Free method. The error is that of ctx and means that the client has left, so that no answer is
// needed. The router calls checkDisconnected, which must not wait, to check whether the client has left although ctx is not
// cancelled yet; it is nil if the frontend cannot check that. Once it has returned true, the frontend has to cancel ctx soon.
// Search may be called from any goroutine but the router's.
func (r *Router) Search(ctx context.Context, request *protocol.Search, arrivedAt time.Time,
	checkDisconnected func() bool) (protocol.FinalAnswer, error) {
	remaining := time.Duration(min(request.RemainingSeconds, request.Deployment.MaxDeadline.Seconds()) * float64(time.Second))
	search := &activeSearch{
		router:       r,
		request:      request,
		deadline:     arrivedAt.Add(remaining),
		answers:      make(chan pendingAnswer, 1),
		clientSeenAt: arrivedAt,
	}
	search.permission.CheckDisconnected = checkDisconnected
	if err := ctx.Err(); err != nil {
		return protocol.FinalAnswer{}, err
	}
	begunAt := time.Now()
	answer, err := r.await(ctx, search)
	if err == nil {
		r.noteDelays(search, arrivedAt, begunAt, answer)
	}
	return answer.FinalAnswer, err
}

// await hands a search to the router's goroutine and waits for its final answer, as Search does. Where the router has not decided on
// one, decidedAt is zero in the result.
func (r *Router) await(ctx context.Context, search *activeSearch) (pendingAnswer, error) {
	// The broker's own answer at the deadline gets one tick to arrive first.
	timer := time.NewTimer(time.Until(search.deadline) + r.tick)
	defer timer.Stop()
	accept := func() {
		// A search whose client left, or got its answer at the deadline, while the search was queued is not accepted.
		if ctx.Err() == nil && time.Now().Before(search.deadline) {
			r.accept(search)
		}
	}
	// The answer is given in time even if the router's goroutine is blocked and its queue is full.
	select {
	case r.callQueue <- accept:
	case <-r.ended:
		return unansweredWith(protocol.StatusStopped), nil
	case <-ctx.Done():
		return pendingAnswer{}, ctx.Err()
	case <-timer.C:
		return unansweredWith(protocol.StatusDeadlineExceeded), nil
	}
	select {
	case answer := <-search.answers:
		return search.awaitWrites(answer), nil
	case <-ctx.Done():
		search.notifyClientLeft()
		r.withdrawPermission(&search.permission)
		return pendingAnswer{}, ctx.Err()
	case <-timer.C:
		select {
		case answer := <-search.answers:
			return search.awaitWrites(answer), nil
		default:
		}
		// The broker ends every search before this, unless the router is held up for that long, possibly in the middle of a
		// turn that sends for this search.
		search.notifyClientLeft()
		r.withdrawPermission(&search.permission)
		return unansweredWith(protocol.StatusDeadlineExceeded), nil
	}
}

// unansweredWith returns the final answer of a search that the router has not decided on.
func unansweredWith(status protocol.FinalStatus) pendingAnswer {
	return pendingAnswer{FinalAnswer: protocol.FinalAnswer{Status: status}}
}

// awaitWrites returns answer. If answer.awaitWrites is set, it first withdraws the search's
// SendPermission, so that no attempt of the search is written to a node any more, and waits until no write in progress contains
// one. That takes Router.tick (a few milliseconds) at most; the broker ends a search some ticks before its client's deadline.
func (s *activeSearch) awaitWrites(answer pendingAnswer) pendingAnswer {
	if answer.awaitWrites {
		s.router.withdrawPermission(&s.permission)
	}
	return answer
}

// withdrawPermission withdraws a search's SendPermission, so that no attempt of the search is written to a node any more,
// and returns once no write in progress contains one. A write that takes longer than Router.tick (a few milliseconds) is
// aborted.
func (r *Router) withdrawPermission(permission *parts.SendPermission) {
	released := permission.Withdraw()
	if released == nil {
		return
	}
	timer := time.NewTimer(r.tick)
	defer timer.Stop()
	select {
	case <-released:
		return
	case <-timer.C:
	}
	for _, backend := range r.backends {
		backend.AbortWrites(permission)
	}
	<-released
}
