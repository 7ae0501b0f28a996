package fleetrig

import (
	"context"
	"fmt"
	"slices"
	"time"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/wire"
)

// Distribution summarises a set of measured times by their number and percentiles.
type Distribution struct {
	// Count is the number of measured times.
	Count int
	// P50 and P99 are the 50th and 99th percentiles of the times and Max is the longest time, all in seconds; 0 if Count is 0.
	P50, P99, Max float64
}

// String returns the distribution as the tables print it; the number in parentheses is Count.
func (d Distribution) String() string {
	return fmt.Sprintf("p50 %.3f, p99 %.3f s (%d)", d.P50, d.P99, d.Count)
}

// distributionOf returns the Distribution of times, which are in seconds. It sorts them.
func distributionOf(seconds []float64) (d Distribution) {
	if len(seconds) == 0 {
		return d
	}
	slices.Sort(seconds)
	return Distribution{len(seconds), seconds[len(seconds)/2], seconds[len(seconds)*99/100], seconds[len(seconds)-1]}
}

// HandoverTimes are the times until leases have a new holder, in a fleet with no faults but the kills that are measured. Times are in
// seconds.
type HandoverTimes struct {
	// Released has the number and percentiles of the times, in seconds, from the end of a tenure that its holder has reported until the
	// start of the next tenure of the same lease.
	Released Distribution
	// HolderKilled has the number and percentiles of the times, in seconds, from the kill of a lease's holder until another process holds
	// the lease.
	HolderKilled Distribution
	// LeaderKilled has the number and percentiles of the times, in seconds, from the kill of the council's leader until any lease is granted
	// by the council after that.
	LeaderKilled Distribution
}

// MeasureHandovers kills the holder of a lease, and after that the council's leader, as often as rounds says, and measures how long it
// takes until leases are granted to others. It returns an error if a process cannot be started or the fleet does not recover.
func MeasureHandovers(ctx context.Context, rounds int) (times HandoverTimes, err error) {
	c, err := newCluster(Scenario{Seed: 1, Voters: 3, Actors: 4})
	if err != nil {
		return times, err
	}
	defer c.remove()
	if err := c.start(); err != nil {
		return times, err
	}
	if !c.waitForProgress(ctx, nil) {
		return times, fmt.Errorf("the fleet did not begin to operate")
	}
	var holderKilled, leaderKilled []float64
	for range rounds {
		place, holder, token := c.checker.latestHolder()
		killedAt := machineNow()
		c.processNamed(holder).kill()
		if !c.wait(ctx, func() bool { return c.checker.nextTenureStart(place, token) > 0 }) {
			return times, fmt.Errorf("%s of %s was not granted to another", place, holder)
		}
		holderKilled = append(holderKilled, c.checker.nextTenureStart(place, token)-killedAt)
		if err := c.processNamed(holder).start(); err != nil {
			return times, err
		}
		time.Sleep(time.Duration(LeaseConfig().TTL * float64(time.Second)))
	}
	for range rounds {
		leader := c.waitForLeader(ctx)
		if leader == nil {
			return times, fmt.Errorf("the council has no leader")
		}
		killedAt, last := machineNow(), c.checker.highestToken()
		leader.kill()
		if !c.wait(ctx, func() bool { return c.checker.firstTenureAfter(last) > 0 }) {
			return times, fmt.Errorf("no lease was granted after the leader %s was killed", leader.name)
		}
		leaderKilled = append(leaderKilled, c.checker.firstTenureAfter(last)-killedAt)
		if err := leader.start(); err != nil {
			return times, err
		}
		time.Sleep(time.Duration(2 * LeaseConfig().TTL * float64(time.Second)))
	}
	times.HolderKilled = distributionOf(holderKilled)
	times.LeaderKilled = distributionOf(leaderKilled)
	times.Released = distributionOf(c.checker.handoverGaps())
	return times, nil
}

// machineNow returns the time of the machine's clock, in seconds since a moment that is the same for all processes of the machine.
func machineNow() float64 { return fleet.RealEnvironment().Now() }

// processNamed returns the process of the cluster with the given name, which must exist.
func (c *cluster) processNamed(name string) *process {
	return c.processes[slices.IndexFunc(c.processes, func(p *process) bool { return p.name == name })]
}

// adminClient returns an operator's client of the council, which connects to the council directly and not through the cluster's links.
func (c *cluster) adminClient() fleet.AdminClient {
	client := fleet.AdminClient{Environment: fleet.RealEnvironment()}
	// build has just written the file of keys, so that reading it does not fail.
	client.Keys, _ = wire.ReadKeys(c.processes[0].orders.NodeConfig.KeyFile)
	for _, voter := range c.processes[:c.Voters] {
		client.Council = append(client.Council, fleet.CouncilBroker{Broker: voter.name, Addr: voter.addr})
	}
	return client
}

// waitForLeader waits until the council has a leader and returns its process, or nil after progressTimeout or once ctx has ended.
func (c *cluster) waitForLeader(ctx context.Context) (leader *process) {
	client := c.adminClient()
	c.wait(ctx, func() bool {
		statuses, _ := client.Statuses(ctx)
		for _, status := range statuses {
			if status.Member != nil && status.Member.IsLeader {
				leader = c.processNamed(status.Broker)
			}
		}
		return leader != nil
	})
	return leader
}

// latestHolder returns, of the tenures (time spans in which a broker holds a lease) that have not been reported as ended, the one that
// began last: place is the key that placeKey makes from its lease and place, broker the holder's name and token that of the grant. It
// waits, without a time limit, until there is such a tenure.
func (c *Checker) latestHolder() (place, broker string, token uint64) {
	for broker == "" {
		c.mu.Lock()
		from := 0.0
		for k, tenures := range c.tenures {
			for t, held := range tenures {
				if !held.ended && held.from > from {
					place, broker, token, from = k, held.broker, t, held.from
				}
			}
		}
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	return place, broker, token
}

// nextTenureStart returns when the tenure with the lowest token above the given one began at a place, a key of placeKey, in seconds of
// the machine's clock; 0 if there is none yet.
func (c *Checker) nextTenureStart(place string, token uint64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return startOfNextToken(c.tenures[place], token)
}

// startOfNextToken returns when the one of the tenures with the lowest token above the given one began, in seconds of the machine's
// clock; 0 if there is none. tenures are those of one lease and place, by token.
func startOfNextToken(tenures map[uint64]*tenure, token uint64) float64 {
	next := uint64(0)
	for t := range tenures {
		if t > token && (next == 0 || t < next) {
			next = t
		}
	}
	if next == 0 {
		return 0
	}
	return tenures[next].from
}

// highestToken returns the highest token under which any broker has claimed any lease so far; 0 if none has.
func (c *Checker) highestToken() (token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tenures := range c.tenures {
		for t := range tenures {
			token = max(token, t)
		}
	}
	return token
}

// firstTenureAfter returns when the first tenure of any lease with a token above the given one began, in seconds of the machine's
// clock; 0 if there is none yet.
func (c *Checker) firstTenureAfter(token uint64) (at float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tenures := range c.tenures {
		if t := startOfNextToken(tenures, token); t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// handoverGaps returns, for each tenure that its holder has reported as ended, the time in seconds from its end until the next tenure of
// the same lease and place began. Tenures without a next one are left out.
func (c *Checker) handoverGaps() (gaps []float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tenures := range c.tenures {
		for token, held := range tenures {
			if next := startOfNextToken(tenures, token); held.ended && next > held.to {
				gaps = append(gaps, next-held.to)
			}
		}
	}
	return gaps
}
