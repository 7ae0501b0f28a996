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
)

// reportLease is what whoever makes the report holds.
const reportLease = "fleet-report"

// askedAtOnce bounds how many brokers a report asks at a time.
const askedAtOnce = 16

// Report is one on the whole fleet. A doubled one does no harm: each file is whole and carries the token it was made
// under, and an older one never takes a newer one's place. A missing one shows by its Number, and the next takes its
// place in its stead.
type Report struct {
	Token   uint64           `json:"token"` // of the lease it was made under
	By      string           `json:"by"`
	Number  int              `json:"number"` // of the reports under that token
	Asked   int              `json:"asked"`  // brokers that the council knows
	Heard   int              `json:"heard"`  // of them, those that answered
	Sums    map[string]int64 `json:"sums"`   // counters of those, added up
	Brokers []Reported       `json:"brokers"`
}

// Reported is one broker in it.
type Reported struct {
	Broker   string           `json:"broker"`
	Addr     string           `json:"addr,omitempty"`
	Failed   string           `json:"failed,omitempty"`
	Counters map[string]int64 `json:"counters,omitempty"`
}

// report waits for its turn to make the report, and makes it as long as it has it.
func (n *Node) report(ctx context.Context) {
	for ctx.Err() == nil {
		task := Task{Name: reportLease, Wait: time.Minute, Bound: time.Duration(n.stated.Terms.Right() / 4 * float64(time.Second))}
		err := n.Act(ctx, task, n.reports)
		if errors.Is(err, ErrClosed) {
			return
		}
		if err != nil && !errors.Is(err, ErrTaken) && ctx.Err() == nil {
			n.log.WithError(err).Warn("fleet: the report")
		}
		select { // whoever did badly lets others go first
		case <-ctx.Done():
		case <-time.After(10 * n.stated.Tick):
		}
	}
}

func (n *Node) reports(ctx context.Context, turn *Turn) error {
	desk := Desk{n.stated.Council, n.keys, n.world}
	for number := 1; ; number++ {
		r, err := n.gather(ctx, desk)
		if err == nil {
			r.Token, r.Number = turn.Token, number
			if !turn.Valid() {
				return ErrLost
			}
			if err = r.write(n.stated.Report); err == nil {
				n.count("report written")
			}
		}
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(n.stated.Every):
		}
	}
}

// gather asks all brokers that the council knows.
func (n *Node) gather(ctx context.Context, desk Desk) (*Report, error) {
	known, err := desk.Brokers(ctx)
	if err != nil {
		return nil, err
	}
	r := &Report{By: n.stated.Broker, Asked: len(known), Sums: map[string]int64{}, Brokers: make([]Reported, len(known))}
	var all sync.WaitGroup
	room := make(chan bool, askedAtOnce)
	for i, b := range known {
		one := &r.Brokers[i]
		one.Broker, one.Addr = b.Owner, b.Addr
		switch {
		case b.Owner == n.stated.Broker:
			one.Counters = n.tell()
		case b.Addr == "":
			one.Failed = "it does not listen for the fleet"
		default:
			room <- true
			all.Go(func() {
				defer func() { <-room }()
				addr := b.Addr
				for _, o := range n.stated.Council { // as this broker sees it
					if o.Broker == b.Owner {
						addr = o.Addr
					}
				}
				got, err := desk.Counters(ctx, addr)
				if one.Counters = got; err != nil {
					one.Failed = err.Error()
				}
			})
		}
	}
	all.Wait()
	slices.SortStableFunc(r.Brokers, func(a, b Reported) int { return strings.Compare(a.Broker, b.Broker) })
	for _, b := range r.Brokers {
		if b.Failed != "" {
			continue
		}
		r.Heard++
		for _, k := range slices.Sorted(maps.Keys(b.Counters)) {
			r.Sums[k] += b.Counters[k]
		}
	}
	return r, ctx.Err()
}

// write puts the report in its file, whole or not at all; not over one that was made under a higher token.
func (r *Report) write(path string) error {
	var was Report
	if raw, err := os.ReadFile(path); err == nil && json.Unmarshal(raw, &was) == nil && was.Token > r.Token {
		return fmt.Errorf("fleet: %s has a report under token %d, this one is under %d", path, was.Token, r.Token)
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".report")
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer os.Remove(f.Name()) // nothing is there any more once it has its name
	_, err = f.Write(append(raw, '\n'))
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
