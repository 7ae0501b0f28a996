package fleet

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestTaskOutcomes checks the result of a task that returns, panics, takes too long, ignores its context, or whose
// process closes.
func TestTaskOutcomes(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0", "c1")
	node := fleet.nodes["c0"]
	task := Task{Name: "job", MaxWait: 20 * time.Second, StopTimeout: 100 * time.Millisecond}
	errOwn := errors.New("its own")
	var lastToken uint64
	var mu sync.Mutex
	checkToken := func(taskLease *TaskLease) {
		mu.Lock()
		defer mu.Unlock()
		if taskLease.Token <= lastToken {
			t.Errorf("token %d after %d", taskLease.Token, lastToken)
		}
		lastToken = taskLease.Token
	}
	if err := node.RunTask(t.Context(), task, func(ctx context.Context, taskLease *TaskLease) error { checkToken(taskLease); return errOwn }); err != errOwn {
		t.Error(err)
	}
	if err := node.RunTask(t.Context(), task, func(ctx context.Context, taskLease *TaskLease) error { checkToken(taskLease); panic("mad") }); err == nil {
		t.Error("a panic of the task gave no error")
	}
	limited := task
	limited.MaxDuration = 50 * time.Millisecond
	if err := node.RunTask(t.Context(), limited, func(ctx context.Context, taskLease *TaskLease) error {
		checkToken(taskLease)
		<-ctx.Done()
		if context.Cause(ctx) != ErrTimeLimit {
			t.Error(context.Cause(ctx))
		}
		return nil
	}); err != ErrTimeLimit {
		t.Error(err)
	}
	letReturn := make(chan bool)
	if err := node.RunTask(t.Context(), limited, func(ctx context.Context, taskLease *TaskLease) error {
		checkToken(taskLease)
		<-letReturn
		if taskLease.Valid() {
			t.Error("a stuck task may operate")
		}
		return nil
	}); err != ErrStuck {
		t.Error(err)
	}
	if err := node.RunTask(t.Context(), task, nil); err != ErrStuck {
		t.Error("a task was run beside a stuck one:", err)
	}
	if err := fleet.nodes["c1"].RunTask(t.Context(), task, func(ctx context.Context, taskLease *TaskLease) error { checkToken(taskLease); return nil }); err != nil {
		t.Error("another broker does not get the lease of a stuck task:", err)
	}
	close(letReturn)
	waitUntil(t, "the stuck task has returned", func() bool {
		err := node.RunTask(t.Context(), task, func(ctx context.Context, taskLease *TaskLease) error { checkToken(taskLease); return nil })
		return err == nil
	})
	tooLong := task
	tooLong.StopTimeout = time.Hour
	if err := node.RunTask(t.Context(), tooLong, nil); err == nil {
		t.Error("a bound longer than the lease was accepted")
	}
	began, ended := make(chan bool), make(chan error)
	go func() {
		ended <- node.RunTask(t.Context(), task, func(ctx context.Context, taskLease *TaskLease) error {
			checkToken(taskLease)
			close(began)
			<-ctx.Done()
			return nil
		})
	}()
	select {
	case <-began:
	case err := <-ended:
		t.Fatal("the task did not begin:", err)
	}
	from := time.Now()
	fleet.close("c0")
	if err := <-ended; err != ErrLost {
		t.Error(err)
	}
	held := fleet.mustAcquire("c1", "job")
	if held.Token <= lastToken {
		t.Error("token", held.Token, "after", lastToken)
	}
	t.Logf("released and granted anew in %v, ttl %v s", time.Since(from), testTerms().TTL)
}

// TestTaskMayRunAgainOnceItsResultIsThere guards against a task that is refused as stuck though it has returned: its name is taken
// out before its result is sent, also if it panics. The result is received only after that, so that the order is forced.
func TestTaskMayRunAgainOnceItsResultIsThere(t *testing.T) {
	errOwn := errors.New("its own")
	for name, function := range map[string]func() error{
		"returns": func() error { return errOwn },
		"panics":  func() error { panic("mad") },
		"ends its goroutine": func() error {
			runtime.Goexit()
			return nil
		},
	} {
		node := &Node{runningTasks: map[string]bool{}}
		node.beginTask("job")
		result := make(chan error)
		go node.executeTask("job", result, function)
		waitUntil(t, "the task may run again", func() bool { return node.beginTask("job") })
		if err := <-result; err == nil || name == "returns" && err != errOwn {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestCloseReleasesAfterTaskEnds checks that a process that closes releases a lease only once the task under it has ended.
func TestCloseReleasesAfterTaskEnds(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0", "c1")
	began := make(chan bool)
	var ended atomic.Bool
	go fleet.nodes["c0"].RunTask(t.Context(), Task{Name: "job", MaxWait: 20 * time.Second, StopTimeout: 400 * time.Millisecond}, func(ctx context.Context, taskLease *TaskLease) error {
		close(began)
		<-ctx.Done()
		// An operation that had begun before the context ended goes on for a while.
		time.Sleep(150 * time.Millisecond)
		ended.Store(true)
		return nil
	})
	<-began
	endedAtGrant := make(chan bool)
	node := fleet.nodes["c1"]
	go func() {
		if _, err := node.Acquire(t.Context(), "job", 1, 25*time.Second); err != nil {
			t.Error(err)
		}
		endedAtGrant <- ended.Load()
	}()
	fleet.close("c0")
	if !<-endedAtGrant {
		t.Error("the lease was granted to another broker while the task still ran")
	}
}

// TestTaskContextEndsBeforeLease checks that, when no renewal succeeds, a task's context ends before the lease's validity
// does, but no earlier than StopTimeout before that.
func TestTaskContextEndsBeforeLease(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0")
	stopTimeout := 400 * time.Millisecond
	began, secondsLeft := make(chan *TaskLease), make(chan float64, 1)
	go fleet.nodes["c0"].RunTask(t.Context(), Task{Name: "job", MaxWait: 20 * time.Second, StopTimeout: stopTimeout}, func(ctx context.Context, taskLease *TaskLease) error {
		began <- taskLease
		<-ctx.Done()
		secondsLeft <- taskLease.ValidUntil() - fleet.environment.Now()
		return nil
	})
	<-began
	for _, name := range []string{"b0", "b1", "b2"} {
		fleet.crash(name)
	}
	if left := <-secondsLeft; left <= 0 || left > 1.01*stopTimeout.Seconds() {
		t.Errorf("%.3f s of the lease's validity were left when the context ended, bound %v", left, stopTimeout)
	}
}
