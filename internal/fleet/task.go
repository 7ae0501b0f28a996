package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// minTaskCheckWait is the shortest time, in seconds, between two checks of whether a task has to end.
const minTaskCheckWait = 0.001

// Task describes work that one broker of the fleet, or at most Places brokers, does at a time.
type Task struct {
	// Name is the name of the task, which is also that of the lease that it runs under.
	Name string
	// Places is the number of brokers that may run the task at a time; below 1 counts as 1.
	Places int
	// MaxWait is the longest time to wait in the council's queue for the task's lease.
	MaxWait time.Duration
	// MaxDuration is the longest time that the task may run; 0 for as long as the lease is held.
	MaxDuration time.Duration

	// StopTimeout is how long operations that the task has begun may continue after its context has ended: the context
	// ends this much before the lease's validity does. It has to be less than the time that one renewal grants.
	StopTimeout time.Duration
}

// The reasons why a task ended other than by its function's return.
var (
	// ErrLost is returned if the lease was lost under which the task ran, or under which a note was to be written.
	ErrLost = errors.New("fleet: the lease was lost while the task ran")
	// ErrTimeLimit is returned if the task ran for longer than its MaxDuration.
	ErrTimeLimit = errors.New("fleet: the task took longer than it may")
	// ErrStuck is returned if the task's function did not return within StopTimeout after its context had ended, or if an
	// earlier run of the task has not returned yet.
	ErrStuck = errors.New("fleet: the task goes on though its context has ended")
)

// TaskLease is the lease that a task runs under. Its Token has to be sent with every operation of the task.
type TaskLease struct {
	// HeldLease is the lease, with its token and the end of its validity.
	*HeldLease
	// stuck says that RunTask has returned ErrStuck because the task's function did not return in time.
	stuck atomic.Bool
}

// Valid reports whether the task may operate at this moment: it has the lease and was not given up as stuck.
func (t *TaskLease) Valid() bool { return !t.stuck.Load() && t.HeldLease.Valid() }

// RunTask acquires the task's lease and runs do under it. The context of do ends when MaxDuration has passed, when the
// lease is lost, when the node closes, and, if no renewal succeeds, StopTimeout before the lease's validity ends. do
// should return then. The outcomes are:
//   - do returns: the lease is released, and the error of do is returned;
//   - do panics: the lease is released, as the work has ended, and the panic is returned as an error;
//   - the lease is lost: the context of do ends with ErrLost as its cause, which is returned if do returns nil;
//   - do ignores its context: after StopTimeout the lease is released and ErrStuck is returned. Operations that do still
//     sends carry a token that targets refuse once another broker holds the lease; this process does not run the task
//     again before do has returned.
//
// An error of Acquire is returned as it is.
func (n *Node) RunTask(ctx context.Context, task Task, do func(ctx context.Context, taskLease *TaskLease) error) error {
	if holdTimeout := n.config.Terms.HoldTimeout(); task.StopTimeout.Seconds() >= holdTimeout {
		return fmt.Errorf("fleet: task %s: its bound %v is not less than the time that a renewal grants, %.3f s", task.Name, task.StopTimeout, holdTimeout)
	}
	if !n.beginTask(task.Name) {
		return ErrStuck
	}
	n.activeTasks.Add(1)
	defer n.activeTasks.Add(-1)
	held, err := n.Acquire(ctx, task.Name, max(task.Places, 1), task.MaxWait)
	if err != nil {
		n.endTask(task.Name)
		return err
	}
	taskLease := &TaskLease{HeldLease: held}
	taskCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	result := make(chan error, 1)
	// This goroutine ends with the task. If the task never returns, it is counted as stuck.
	go n.executeTask(task.Name, result, func() error { return do(taskCtx, taskLease) })
	var timeLimit <-chan time.Time
	if task.MaxDuration > 0 {
		timer := time.NewTimer(task.MaxDuration)
		defer timer.Stop()
		timeLimit = timer.C
	}
	validityEnds := time.NewTimer(0)
	defer validityEnds.Stop()
	var cause error
	for cause == nil {
		select {
		case err := <-result:
			held.Release()
			return err
		case <-held.Lost():
			cause = ErrLost
		case <-timeLimit:
			cause = ErrTimeLimit
		case <-ctx.Done():
			cause = context.Cause(ctx)
		case <-validityEnds.C:
			secondsLeft := held.ValidUntil() - task.StopTimeout.Seconds() - n.environment.Now()
			if secondsLeft <= 0 {
				cause = ErrLost
			}
			validityEnds.Reset(time.Duration(max(secondsLeft, minTaskCheckWait) * float64(time.Second)))
		}
	}
	cancel(cause)
	n.countEvent("task cut short")
	stopTimer := time.NewTimer(task.StopTimeout)
	defer stopTimer.Stop()
	select {
	case err := <-result:
		held.Release()
		if err == nil {
			err = cause
		}
		return err
	case <-stopTimer.C:
		taskLease.stuck.Store(true)
		n.countEvent("task stuck")
		n.log.WithField("task", task.Name).WithField("token", held.Token).Error("fleet: a task goes on though its context has ended")
		held.Release()
		return ErrStuck
	}
}

// executeTask calls a task's function and sends its error, or one that describes its panic, to result. Before that it removes the
// task's name from runningTasks, as whoever has received the result may run the task again at once.
func (n *Node) executeTask(name string, result chan<- error, function func() error) {
	err := fmt.Errorf("fleet: task %s: its goroutine was ended", name)
	defer func() {
		n.endTask(name)
		result <- err
	}()
	err = callRecovered(name, function)
}

// callRecovered calls a task's function and returns its error, or one that describes its panic.
func callRecovered(name string, function func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("fleet: task %s: panic: %v", name, r)
		}
	}()
	return function()
}

// beginTask adds a task's name to runningTasks; it returns false if the name is there already, because an earlier run
// of the task has not ended. endTask removes it.
func (n *Node) beginTask(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runningTasks[name] {
		return false
	}
	n.runningTasks[name] = true
	return true
}

// endTask removes the task's name from runningTasks, because its function has returned or is not run.
func (n *Node) endTask(name string) {
	n.mu.Lock()
	delete(n.runningTasks, name)
	n.mu.Unlock()
}
