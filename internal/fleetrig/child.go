package fleetrig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/council"
)

// RunIfChild runs this process as a child of the rig, and does not return, if the environment contains Orders (for a process of a
// Scenario) or arguments of the program (for a process of a Site). In other processes it returns at once.
func RunIfChild() {
	runProgramIfChild()
	raw := os.Getenv(ordersVariable)
	if raw == "" {
		return
	}
	var o Orders
	if err := json.Unmarshal([]byte(raw), &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// failingStorage is a stable storage (the durable storage of a council member) of which one write fails.
type failingStorage struct {
	// StableStorage is the storage that the writes are passed on to.
	council.StableStorage
	// writesLeft is the number of writes up to and with the one that fails. Each write lowers it by one; the one that brings it to 0 fails.
	writesLeft int
}

// Put writes the batch, or returns an error if this write is the one that has to fail.
func (f *failingStorage) Put(b council.Batch) error {
	if f.writesLeft--; f.writesLeft == 0 {
		return errors.New("this write was ordered to fail")
	}
	return f.StableStorage.Put(b)
}

// withFaults returns the environment with the clock rate that the orders state and, if they have a FailWrite, with a storage of which that
// write fails.
func (o Orders) withFaults(environment fleet.Environment) fleet.Environment {
	machineClock := environment.Now
	environment.Now = func() float64 { return machineClock() * o.ClockRate }
	if o.FailWrite > 0 {
		open := environment.Open
		environment.Open = func(dir string) (council.StableStorage, bool, error) {
			storage, aside, err := open(dir)
			return &failingStorage{storage, o.FailWrite}, aside, err
		}
	}
	return environment
}

// run starts the fleet node of a child process, sends operations under its leases and takes units of its budgets until SIGTERM arrives.
// An error means that the fleet node could not start.
func (o Orders) run() error {
	environment := fleet.RealEnvironment()
	machineClock := environment.Now
	environment = o.withFaults(environment)
	// Without the margin, neither the holders' view of a lease's end nor the council's allows for clock drift.
	if !o.DriftMargin {
		o.NodeConfig.Terms.MaxClockDrift = 0
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	node, err := fleet.Start(o.NodeConfig, environment, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	report := func(c Claim) {
		mu.Lock()
		defer mu.Unlock()
		out.Encode(c)
	}
	var operations atomic.Int64
	var running sync.WaitGroup
	for _, name := range o.Leases {
		running.Go(func() { o.useLease(ctx, node, name, machineClock, report, &operations) })
	}
	if len(o.Budgets) > 0 {
		node.SetBudgets(o.Budgets)
	}
	if len(o.Budgets) > 0 && o.TargetAddr != "" {
		running.Go(func() { o.useBudgets(ctx, node, machineClock) })
	}
	report(Claim{Note: "up"})
	<-ctx.Done()
	closing, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	node.Close(closing)
	running.Wait()
	return nil
}

// useLease acquires the named lease again and again until ctx ends, with a pause of 30 ms in between, and calls operate each time that it
// is granted, for at most 1.5 times the TTL. The other parameters are those of operate.
func (o Orders) useLease(ctx context.Context, node *fleet.Node, name string, machineClock func() float64, report func(Claim), operations *atomic.Int64) {
	for ctx.Err() == nil {
		task := fleet.Task{
			Name:        name,
			MaxWait:     2 * time.Second,
			MaxDuration: time.Duration(o.NodeConfig.Terms.TTL * 1.5 * float64(time.Second)),
			StopTimeout: 50 * time.Millisecond,
		}
		node.RunTask(ctx, task, func(ctx context.Context, turn *fleet.TaskLease) error {
			o.operate(ctx, turn, machineClock, report, operations)
			return nil
		})
		select {
		case <-ctx.Done():
		case <-time.After(30 * time.Millisecond):
		}
	}
}
