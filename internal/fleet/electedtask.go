package fleet

import (
	"context"
	"errors"
	"time"
)

const (
	// electedTaskMaxWait is the longest time that one request for the lease of an elected task stays in the queue.
	electedTaskMaxWait = time.Minute
	// electedTaskRetryTicks is the time, in ticks (of Config.Tick), between the end of an elected task and the next request
	// for its lease.
	electedTaskRetryTicks = 10
	// electedTaskStopDivisor divides the hold time-out; the quotient is the time in which operations of an elected task have
	// to stop after its context has ended.
	electedTaskStopDivisor = 4
)

// runElectedTask runs do whenever this broker gets the lease of the given name, for as long as it holds it, and asks for the
// lease again afterwards, until ctx ends or the node closes. Operations of do have to stop within a quarter of the hold
// time-out after their context has ended.
func (n *Node) runElectedTask(ctx context.Context, name string, do func(context.Context, *TaskLease) error) {
	for ctx.Err() == nil {
		stopTimeout := time.Duration(n.config.Terms.HoldTimeout() / electedTaskStopDivisor * float64(time.Second))
		task := Task{Name: name, MaxWait: electedTaskMaxWait, StopTimeout: stopTimeout}
		err := n.RunTask(ctx, task, do)
		if errors.Is(err, ErrClosed) {
			return
		}
		if err != nil && !errors.Is(err, ErrTaken) && ctx.Err() == nil {
			n.log.WithError(err).WithField("task", name).Warn("fleet: a task ended badly")
		}
		// After a failure, the wait lets other brokers get the lease first.
		select {
		case <-ctx.Done():
		case <-time.After(electedTaskRetryTicks * n.config.Tick):
		}
	}
}
