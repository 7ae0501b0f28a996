package fleetrig

import (
	"context"
	"fmt"
	"time"
)

// ProbeScenario is one run of a Site whose first node refuses connections for a while, with health probes shared by the brokers or not.
// A health probe is a connection that a broker opens to find out whether a node is available again.
type ProbeScenario struct {
	// Brokers is the number of broker processes.
	Brokers int
	// SharedProbes makes one broker probe the first node for all brokers; otherwise each broker probes it for itself.
	SharedProbes bool
	// Outage is how long the first node refuses connections.
	Outage time.Duration
	// Dir is the folder for the site's files; empty for the system's temporary one.
	Dir string
}

// ProbeResult is the outcome of a ProbeScenario.
type ProbeResult struct {
	// AttemptsPerSecond is the number of connections a second that all brokers together tried to open to the first node in the last three
	// quarters of its outage.
	AttemptsPerSecond float64
	// RecoverySeconds is the time from the end of the outage until there were as many connections to the first node as brokers, in
	// seconds; about progressTimeout if that did not happen.
	RecoverySeconds float64
	// SuccessShare is the share of all searches that succeeded, from 0 to 1.
	SuccessShare float64
	// DecidedByUpdates counts the probes that the brokers in the council did not send because another broker had told them the
	// result of its own probe.
	DecidedByUpdates int64
	// Violations describe what went wrong: fewer connections to the node than brokers long after the outage, and crashes of processes.
	Violations []string
}

// Run runs the scenario. It returns an error, with a nil result, if the site cannot be started, and an error beside the result if ctx ends
// later.
func (p ProbeScenario) Run(ctx context.Context) (result *ProbeResult, err error) {
	site, err := NewSite(SiteConfig{
		Brokers:  p.Brokers,
		Voters:   3,
		Nodes:    4,
		TTL:      800 * time.Millisecond,
		Tick:     20 * time.Millisecond,
		Settings: []string{fmt.Sprintf("fleet.trials=%v", p.SharedProbes)},
		Dir:      p.Dir,
	})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	// Each broker gets few searches: with many, its measure of lateness keeps parts away from a node, and the node is hardly
	// ever tried.
	load, wait := site.Load(loading, 2, time.Duration(120/p.Brokers)*time.Millisecond)
	sleep(ctx, 500*time.Millisecond)
	site.FirstNodeLink.SetRefusing(true)
	// All brokers find out that the node is unavailable before attempts are counted.
	sleep(ctx, p.Outage/4)
	from, refused := time.Now(), site.FirstNodeLink.Refused()
	sleep(ctx, p.Outage*3/4)
	result = &ProbeResult{AttemptsPerSecond: float64(site.FirstNodeLink.Refused()-refused) / time.Since(from).Seconds()}
	site.FirstNodeLink.SetRefusing(false)
	from = time.Now()
	if !site.Wait(ctx, progressTimeout, func() bool { return site.FirstNodeLink.OpenConnections() >= p.Brokers }) {
		result.Violations = append(result.Violations, fmt.Sprintf("%d of %d brokers are connected to the node again", site.FirstNodeLink.OpenConnections(), p.Brokers))
	}
	result.RecoverySeconds = time.Since(from).Seconds()
	stopLoad()
	wait()
	_, result.SuccessShare, _ = load.SuccessShares()
	statuses, _ := site.AdminClient().Statuses(ctx)
	for _, status := range statuses {
		result.DecidedByUpdates += status.Counts["trial by news"]
	}
	result.Violations = append(result.Violations, site.Crashes()...)
	return result, ctx.Err()
}
