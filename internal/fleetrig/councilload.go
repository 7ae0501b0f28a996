package fleetrig

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"brackenfront/internal/fleet"
)

// CouncilLoad is the measured throughput and cost of a council of three processes, to which many fleet nodes of one process have a
// session each. A renewal is the call by which a session keeps its leases; the leader is the council's process that serves these calls.
type CouncilLoad struct {
	// Sessions is the number of sessions with the council.
	Sessions int
	// AllAcquired is the time from when all sessions began at once to acquire a lease each until all held it.
	AllAcquired time.Duration
	// RenewalsPerSecond is the number of renewals that all sessions together send per second. It is computed from the lease configuration,
	// not counted.
	RenewalsPerSecond float64
	// CPUMillisPerRenewal is the leader's processor time for one renewal, in milliseconds.
	CPUMillisPerRenewal float64
	// SyncsPerRenewal is the number of the leader's writes that were synced to the disk, divided by the number of renewals in the same
	// time.
	SyncsPerRenewal float64
	// CouncilRestart is the time from the restart of the council, all of whose processes were killed, until each session has acquired
	// another lease.
	CouncilRestart time.Duration
	// Changes is the number of grants and releases of leases, together, that were made as fast as possible after CouncilRestart.
	Changes int
	// ChangesPerSecond is Changes divided by the time that they took together, in seconds.
	ChangesPerSecond float64
	// DiskBytes is the size of the files in the leader's folder after the changes, in bytes.
	DiskBytes int64
	// MemoryBytes is the resident memory of the leader's process after the changes, in bytes.
	MemoryBytes int64
	// LeaderRestart is the time from the restart of the leader, which is killed at the end, until it follows another leader and has
	// applied all entries of the council's log.
	LeaderRestart time.Duration
}

const (
	// renewalTime is how long MeasureCouncilLoad measures the cost of renewals.
	renewalTime = 6 * time.Second
	// changersPerNode is the number of goroutines of each node that acquire and release leases at once, so that one call to the council
	// carries several changes.
	changersPerNode = 4
)

// MeasureCouncilLoad opens a number of sessions on a new council, measures their renewals and a restart of the council, and
// then makes a number of changes of leases: each a grant or a release. It returns an error if a process cannot be
// started, a session fails, or the council gets no leader in time.
func MeasureCouncilLoad(ctx context.Context, sessions, changes int) (load CouncilLoad, err error) {
	c, err := NewCouncil(ctx, 6)
	if err != nil {
		return load, err
	}
	defer c.Close()
	voters, terms := c.cluster, c.nodeConfig.Terms
	leader := voters.waitForLeader(ctx)
	if leader == nil {
		return load, fmt.Errorf("the council has no leader")
	}
	nodes := make([]*fleet.Node, sessions)
	defer closeNodes(nodes)
	for i := range nodes {
		if nodes[i], err = c.StartNode(fmt.Sprint("n", i)); err != nil {
			return load, err
		}
	}
	held := make([]*fleet.HeldLease, sessions)
	acquire := func(i int, node *fleet.Node) (err error) {
		held[i], err = node.Acquire(ctx, fmt.Sprint("own-", i), 1, time.Minute)
		return err
	}
	from := time.Now()
	if err := forAllNodes(nodes, acquire); err != nil {
		return load, err
	}
	load.Sessions = sessions
	load.AllAcquired = time.Since(from)

	cpuBefore, writesBefore := leader.cpuSeconds(), voters.durableWrites(ctx, leader)
	sleep(ctx, renewalTime)
	load.RenewalsPerSecond = float64(sessions) * 3 / terms.HoldTimeout()
	renewals := load.RenewalsPerSecond * renewalTime.Seconds()
	load.CPUMillisPerRenewal = (leader.cpuSeconds() - cpuBefore) * 1e3 / renewals
	load.SyncsPerRenewal = float64(voters.durableWrites(ctx, leader)-writesBefore) / renewals

	if load.CouncilRestart, err = voters.restartAll(ctx, nodes); err != nil {
		return load, err
	}

	from = time.Now()
	if load.Changes, err = changeLeases(ctx, nodes, changes); err != nil {
		return load, err
	}
	load.ChangesPerSecond = float64(load.Changes) / time.Since(from).Seconds()
	if leader = voters.waitForLeader(ctx); leader == nil {
		return load, fmt.Errorf("the council has no leader")
	}
	load.DiskBytes = folderBytes(leader.dir)
	load.MemoryBytes = leader.residentBytes()
	load.LeaderRestart, err = voters.restartVoter(ctx, leader)
	return load, err
}

// closeNodes closes all nodes at once, within a second; a nil element is left out.
func closeNodes(nodes []*fleet.Node) {
	closing, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var closed sync.WaitGroup
	for _, node := range nodes {
		if node != nil {
			closed.Go(func() { node.Close(closing) })
		}
	}
	closed.Wait()
}

// restartAll kills all voters and starts them again. It returns the time from the first start until each of nodes, which reconnect at once,
// has acquired a further lease.
func (c *cluster) restartAll(ctx context.Context, nodes []*fleet.Node) (time.Duration, error) {
	for _, voter := range c.processes {
		voter.kill()
	}
	from := time.Now()
	for _, voter := range c.processes {
		if err := voter.start(); err != nil {
			return 0, err
		}
	}
	if err := forAllNodes(nodes, func(i int, node *fleet.Node) error {
		acquired, err := node.Acquire(ctx, fmt.Sprint("back-", i), 1, time.Minute)
		if err == nil {
			acquired.Release()
		}
		return err
	}); err != nil {
		return 0, err
	}
	return time.Since(from), nil
}

// restartVoter kills a voter and starts it again. It returns the time from the start until the voter follows a leader and has applied all
// committed entries of the council's log that it knows of.
func (c *cluster) restartVoter(ctx context.Context, voter *process) (time.Duration, error) {
	voter.kill()
	from := time.Now()
	if err := voter.start(); err != nil {
		return 0, err
	}
	admin := c.adminClient()
	if !c.wait(ctx, func() bool {
		statuses, _ := admin.Statuses(ctx)
		for _, status := range statuses {
			if status.Broker == voter.name && status.Member.Leader != "" && status.Member.Applied >= status.Member.Commit {
				return true
			}
		}
		return false
	}) {
		return 0, fmt.Errorf("%s did not follow the council again after its restart", voter.name)
	}
	return time.Since(from), nil
}

// forAllNodes calls do for all nodes at once, with their indices, and returns the error of one of the calls, if there was any.
func forAllNodes(nodes []*fleet.Node, do func(i int, node *fleet.Node) error) error {
	var running sync.WaitGroup
	var failed atomic.Pointer[error]
	for i, node := range nodes {
		running.Go(func() {
			if err := do(i, node); err != nil {
				failed.Store(&err)
			}
		})
	}
	running.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// changeLeases makes the given number of changes of leases, each a grant or a release, as fast as it can, from all nodes at once, and
// returns how many it made. It returns an error if a lease cannot be acquired within a minute.
func changeLeases(ctx context.Context, nodes []*fleet.Node, changes int) (made int, err error) {
	var done atomic.Int64
	var failed atomic.Pointer[error]
	if err := forAllNodes(nodes, func(i int, node *fleet.Node) error {
		var running sync.WaitGroup
		for k := range changersPerNode {
			running.Go(func() {
				// Each round is two changes, a grant and a release, sent in one call together with others.
				for done.Add(2) <= int64(changes) {
					acquired, err := node.Acquire(ctx, fmt.Sprintf("job-%d-%d", i, k), 1, time.Minute)
					if err != nil {
						failed.Store(&err)
						return
					}
					acquired.Release()
				}
			})
		}
		running.Wait()
		if err := failed.Load(); err != nil {
			return *err
		}
		return nil
	}); err != nil {
		return 0, err
	}
	return int(min(done.Load(), int64(changes))), nil
}

// durableWrites returns the number of durable writes that a voter has made so far; 0 if the voter does not answer.
func (c *cluster) durableWrites(ctx context.Context, voter *process) uint64 {
	statuses, _ := c.adminClient().Statuses(ctx)
	for _, status := range statuses {
		if status.Broker == voter.name {
			return status.Member.WriteCount
		}
	}
	return 0
}
