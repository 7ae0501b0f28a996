package fleet

import (
	"context"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"brackenfront/healthprobes"
	"brackenfront/random"
)

// probeLeasePrefix followed by a zone's name is the name of a lease; the broker that holds it probes unavailable nodes
// on behalf of the brokers of that zone.
const probeLeasePrefix = "fleet-trials/"

const (
	// proberIdleWait is the setting of the timer of zoneProber.run while no request for a probe waits.
	proberIdleWait = time.Hour
	// minProberWait is the shortest setting of the timer of zoneProber.run, in seconds.
	minProberWait = 0.001
)

// HealthUpdates is a message with updates on the health of nodes. A broker sends it to the council's leader, which
// forwards requests for probes to the broker that probes for the zone, and other updates to all brokers of the zone. Each
// message also subscribes its sender to the updates of the zone; one without updates does only that.
type HealthUpdates struct {
	// Zone is the name of the sender's zone, to whose brokers the updates are forwarded.
	Zone string `cbor:"1,keyasint,omitempty"`
	// Updates holds the updates on the health of nodes, at most maxUpdatesPerMessage; it is empty in a message that only
	// subscribes.
	Updates []healthprobes.Update `cbor:"2,keyasint,omitempty"`
}

// zoneProber handles this broker's requests for health probes of nodes: by the results of other brokers of the zone where
// there are any, and by its own probes otherwise. One goroutine, run, owns tracker, probe and waiting; others reach it
// through do.
type zoneProber struct {
	// node is this process's Node.
	node *Node
	// tracker decides whether a request is answered by the results of others or by a probe.
	tracker *healthprobes.Tracker
	// probe probes the node at addr and calls report with the result, as SetProbe specifies; nil before SetProbe is called.
	probe func(addr string, report func(ok, tried bool))
	// calls holds the functions that other goroutines have queued by do and that run has yet to call, at most
	// maxQueuedCalls.
	calls chan func()
	// done is closed when run has ended, so that it takes no more calls.
	done chan struct{}
	// waiting holds, by a node's address, the functions to call with the probe's result, one for each request that has
	// no result yet.
	waiting map[string][]func(ok bool)
}

// newZoneProber creates the prober; run has to be started by the caller.
func (n *Node) newZoneProber() *zoneProber {
	rnd, seed := &random.Source{}, [8]byte{}
	n.environment.Random(seed[:])
	rnd.Seed(binary.BigEndian.Uint64(seed[:]))
	return &zoneProber{
		node:    n,
		tracker: healthprobes.New(n.config.Broker, rnd),
		calls:   make(chan func(), maxQueuedCalls),
		done:    make(chan struct{}),
		waiting: map[string][]func(bool){},
	}
}

// SharesHealthProbes reports whether health probes are shared in this fleet.
func (n *Node) SharesHealthProbes() bool { return n.prober != nil }

// SetProbe sets the function by which this broker probes a node itself. The function has to call report once, from any
// goroutine; tried says whether the node was probed at all, and ok whether it is healthy. SetProbe has to be called before
// the first RequestProbe, and only if health probes are shared.
func (n *Node) SetProbe(probe func(addr string, report func(ok, tried bool))) {
	n.prober.do(func() { n.prober.probe = probe })
}

// RequestProbe requests a health probe of a node. It does not block. report is called once, from any goroutine, with
// whether the node is healthy. If RequestProbe returns false, report is not called, and the caller has to probe the node
// itself.
func (n *Node) RequestProbe(addr string, report func(ok bool)) bool {
	p := n.prober
	select {
	case <-p.done:
		return false
	default:
	}
	select {
	case p.calls <- func() { p.requestProbe(addr, report) }:
		return true
	default:
		// With so many queued calls, the result would come late.
		p.node.countEvent("trial crowded")
		return false
	}
}

// do queues f for the prober's goroutine, and returns false if the goroutine has ended. It blocks while the queue is full.
func (p *zoneProber) do(f func()) bool {
	select {
	case p.calls <- f:
		return true
	case <-p.done:
		return false
	}
}

// receive makes the prober's goroutine handle health updates that came from other brokers. If its queue is full they
// are dropped; later updates replace them.
func (p *zoneProber) receive(updates []healthprobes.Update) {
	select {
	case p.calls <- func() {
		for _, update := range updates {
			p.applyDecision(update.Node, p.tracker.HandleUpdate(p.node.environment.Now(), update))
		}
	}:
	default:
		p.node.countEvent("news dropped")
	}
}

// probeForZone makes this broker probe nodes on behalf of its zone until ctx ends. It runs as the task of the zone's
// lease. Two brokers that run it at a time do no harm: a node is probed twice. While no broker runs it, each broker
// probes for itself after a short wait.
func (p *zoneProber) probeForZone(ctx context.Context, _ *TaskLease) error {
	p.do(func() { p.tracker.SetZoneProber(true) })
	<-ctx.Done()
	p.do(func() { p.tracker.SetZoneProber(false) })
	return nil
}

// run is the prober's goroutine. It probes nodes whose requests have waited too long for results of others, sends
// updates, and runs queued calls, until ctx ends. It then reports failure to all waiting requests.
func (p *zoneProber) run(ctx context.Context) {
	timer := time.NewTimer(proberIdleWait)
	defer timer.Stop()
	for {
		now := p.node.environment.Now()
		for {
			name, found, due := p.tracker.NextOverdue(now)
			if !found {
				wait := proberIdleWait
				if !math.IsInf(due, 1) {
					wait = time.Duration(max(due-now, minProberWait) * float64(time.Second))
				}
				timer.Reset(wait)
				break
			}
			p.applyDecision(name, healthprobes.ProbeNow)
		}
		p.sendUpdates()
		select {
		case f := <-p.calls:
			f()
		case <-timer.C:
		case <-ctx.Done():
			close(p.done)
			for {
				select {
				case f := <-p.calls:
					f()
				default:
					for addr := range p.waiting {
						p.notifyWaiting(addr, false)
					}
					return
				}
			}
		}
	}
}

// sendUpdates sends the tracker's updates on the health of nodes, in messages of at most maxUpdatesPerMessage.
func (p *zoneProber) sendUpdates() {
	updates := p.tracker.TakeUpdates()
	if len(updates) == 0 {
		return
	}
	for chunk := range slices.Chunk(slices.Clone(updates), maxUpdatesPerMessage) {
		p.send(&HealthUpdates{Zone: p.node.config.Zone, Updates: chunk})
	}
}

// send sends one message with health updates to the member of the council that this process is connected to. Without a
// connection the message is lost; if the queue of the client's calls is full, it is dropped and counted.
func (p *zoneProber) send(message *HealthUpdates) {
	request := clientRequest{HealthUpdates: message}
	c := p.node.client
	select {
	case c.calls <- func() {
		if c.conn != nil {
			c.conn.send(request)
		}
	}:
	case <-c.done:
	default:
		p.node.countEvent("news dropped")
	}
}

// requestProbe requests a health probe of the node at an address (host:port). report is called once the result is there,
// from a probe by this broker or from another broker of the zone; ok says whether the node is healthy. Only the prober's
// goroutine may call it.
func (p *zoneProber) requestProbe(addr string, report func(ok bool)) {
	p.waiting[addr] = append(p.waiting[addr], report)
	p.applyDecision(addr, p.tracker.RequestProbe(p.node.environment.Now(), addr))
}

// applyDecision carries out the tracker's decision on a node: it answers the waiting requests with the result of another
// broker, or probes the node. Only the prober's goroutine may call it.
func (p *zoneProber) applyDecision(addr string, decision healthprobes.Decision) {
	switch decision {
	case healthprobes.AssumeUp, healthprobes.AssumeDown:
		p.node.countEvent("trial by news")
		p.notifyWaiting(addr, decision == healthprobes.AssumeUp)
	case healthprobes.ProbeNow:
		p.node.countEvent("trial own")
		if p.probe == nil {
			p.tracker.CancelProbe(p.node.environment.Now(), addr)
			p.notifyWaiting(addr, false)
			return
		}
		p.probe(addr, func(ok, tried bool) {
			p.do(func() {
				if tried {
					p.tracker.RecordResult(p.node.environment.Now(), addr, ok)
				} else {
					p.tracker.CancelProbe(p.node.environment.Now(), addr)
				}
				p.notifyWaiting(addr, ok)
			})
		})
	}
}

// notifyWaiting calls all functions that wait for the result of a probe of a node; ok says whether the node is healthy.
// Only the prober's goroutine may call it.
func (p *zoneProber) notifyWaiting(addr string, ok bool) {
	reports := p.waiting[addr]
	delete(p.waiting, addr)
	for _, report := range reports {
		report(ok)
	}
}
