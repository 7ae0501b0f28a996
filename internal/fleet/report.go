package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"brackenfront/lease"
)

// reportLease is the name of the lease whose holder writes the Report on the fleet: a file for the operator with the
// counters of all brokers.
const reportLease = "fleet-report"

// maxConcurrentRequests is the largest number of brokers that are sent a request at the same time.
const maxConcurrentRequests = 16

// Report is a report on the whole fleet, written to a file as JSON. Two concurrent writers do no harm: each file is
// written as a whole and carries the token of its writer's lease, and a report with a lower token never replaces one with
// a higher token. A missing report shows as a gap in the numbers; the next report replaces it.
type Report struct {
	// Token is the fencing token of the lease that the report was made under.
	Token uint64 `json:"token"`
	// Broker is the name of the broker that wrote the report.
	Broker string `json:"by"`
	// Number counts the reports that were written under Token, starting at 1.
	Number int `json:"number"`
	// KnownBrokers is the number of brokers that have a session with the council.
	KnownBrokers int `json:"asked"`
	// RepliedBrokers is the number of the brokers with a session that replied when they were asked for their state.
	RepliedBrokers int `json:"heard"`
	// Sums are the sums of the counters of the brokers that replied, by the counter's name.
	Sums map[string]int64 `json:"sums"`
	// Brokers has an entry for each broker that has a session with the council, in order of the brokers' names.
	Brokers []BrokerReport `json:"brokers"`
}

// BrokerReport is the entry of a Report for one broker: its counters, or why it did not reply.
type BrokerReport struct {
	// Broker is the broker's name in the fleet.
	Broker string `json:"broker"`
	// Addr is the address, host:port, at which the broker listens for the fleet; empty if it does not listen.
	Addr string `json:"addr,omitempty"`
	// Failure says why the broker did not reply; empty if it did.
	Failure string `json:"failed,omitempty"`
	// Counters are the broker's counters since its start, by name; "answered", for example, counts the answered searches.
	Counters map[string]int64 `json:"counters,omitempty"`
}

// writeReports writes a Report, and again after each Config.ReportInterval, until ctx ends or a report cannot be made. It runs
// as the task of reportLease. The error is ErrLost if taskLease is no longer valid.
func (n *Node) writeReports(ctx context.Context, taskLease *TaskLease) error {
	admin := AdminClient{n.config.Council, n.keys, n.environment}
	for number := 1; ; number++ {
		report, err := n.collectReport(ctx, admin)
		if err == nil {
			report.Token = taskLease.Token
			report.Number = number
			if !taskLease.Valid() {
				return ErrLost
			}
			if err = report.write(n.config.ReportFile); err == nil {
				n.countEvent("report written")
			}
		}
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(n.config.ReportInterval):
		}
	}
}

// collectReport asks all brokers that have a session with the council for their state, and returns the report. The
// caller sets Token and Number.
func (n *Node) collectReport(ctx context.Context, admin AdminClient) (*Report, error) {
	known, err := admin.Brokers(ctx)
	if err != nil {
		return nil, err
	}
	report := &Report{Broker: n.config.Broker, KnownBrokers: len(known), Sums: map[string]int64{}, Brokers: make([]BrokerReport, len(known))}
	n.askEach(ctx, admin, known, func(i int, state BrokerState, err error) {
		report.Brokers[i] = BrokerReport{Broker: known[i].Owner, Addr: known[i].Addr, Counters: state.Counters}
		if err != nil {
			report.Brokers[i].Failure = err.Error()
		}
	})
	slices.SortStableFunc(report.Brokers, func(a, b BrokerReport) int { return strings.Compare(a.Broker, b.Broker) })
	for _, b := range report.Brokers {
		if b.Failure != "" {
			continue
		}
		report.RepliedBrokers++
		for _, name := range slices.Sorted(maps.Keys(b.Counters)) {
			report.Sums[name] += b.Counters[name]
		}
	}
	return report, ctx.Err()
}

// errNotListening is the error for a broker that the council knows but that has no address at which it could be asked.
var errNotListening = errors.New("it does not listen for the fleet")

// dialAddr returns the address at which this broker dials another one: for a broker of the council the address in this
// broker's settings, else addr.
func (n *Node) dialAddr(broker, addr string) string {
	for _, configured := range n.config.Council {
		if configured.Broker == broker {
			return configured.Addr
		}
	}
	return addr
}

// askEach asks brokers for their state, at most maxConcurrentRequests at a time, and waits for all. This broker may be
// among them. handle is called once for each broker, from any goroutine, with the broker's index in brokers and its state,
// or the error for which there is none.
func (n *Node) askEach(ctx context.Context, admin AdminClient, brokers []lease.Broker, handle func(i int, state BrokerState, err error)) {
	var requests sync.WaitGroup
	defer requests.Wait()
	slots := make(chan bool, maxConcurrentRequests)
	for i, b := range brokers {
		switch {
		case b.Owner == n.config.Broker:
			handle(i, n.state(), nil)
		case b.Addr == "":
			handle(i, BrokerState{}, errNotListening)
		default:
			slots <- true
			requests.Go(func() {
				defer func() { <-slots }()
				state, err := admin.BrokerState(ctx, n.dialAddr(b.Owner, b.Addr))
				handle(i, state, err)
			})
		}
	}
}

// write writes the report as JSON to the file with the given path, atomically, in place of an earlier report. It returns an
// error if the file has a report with a higher token or cannot be written.
func (r *Report) write(path string) error {
	var before Report
	if raw, err := os.ReadFile(path); err == nil && json.Unmarshal(raw, &before) == nil && before.Token > r.Token {
		return fmt.Errorf("fleet: %s has a report under token %d, this one is under %d", path, before.Token, r.Token)
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".report")
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	// Once the file has been renamed, there is nothing to remove under this name.
	defer os.Remove(file.Name())
	_, err = file.Write(append(raw, '\n'))
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
