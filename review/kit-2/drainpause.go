package kit2

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// drainGrace is rules.drainGrace of the settings; socketSlack is what every time limit is longer by on sockets.
	drainGrace  = 250 * time.Millisecond
	socketSlack = 50 * time.Millisecond
	// pauseTime is how long a broker stands still: the pages say 310 to 910 ms, every 3.1 to 4.4 s, for 16 to 28 s.
	pauseTime  = 890 * time.Millisecond
	pauseEvery = 3500 * time.Millisecond
	pauses     = 7
	// pausedBrokers of drainBrokers stand still: the pages say up to 63% of them.
	drainBrokers  = 5
	pausedBrokers = 3
	// toldAfter is how long after the start of a pause a node is listed as leaving.
	toldAfter = 520 * time.Millisecond
	// goneAfter is how long after it was listed as leaving a node ends: the pages say 0.79 to 2.7 s. partTime is how long a node
	// takes for a part: what is sent in time ends in time.
	goneAfter = 790 * time.Millisecond
	partTime  = 450 * time.Millisecond
)

// smallSettings are settings of a small deployment: 3 blocks, each shard in two of them.
func smallSettings() map[string]any {
	return map[string]any{"instances": 1, "tick": 5, "myZone": "a", "discovery": "pushed", "worthBy": "request",
		"zones": []string{"a"},
		"lanes": []map[string]any{
			{"name": "quote", "effect": "read_like", "target": 1000, "giveUp": 4000, "worth": 1, "lateWorth": 0.1, "window": 4000},
			{"name": "order", "effect": "non_idempotent", "target": 1000, "giveUp": 4000, "worth": 1, "lateWorth": 0.1, "window": 4000}},
		"tenants": []map[string]any{{"name": "acme", "quotaPerS": 500, "share": 1}},
		"familyInfo": map[string]any{"perCall": 1, "places": 3, "reach": 2, "slices": 6, "classNeed": []float64{1, 1}, "minShare": []float64{1, 1},
			"incompleteWorth": []float64{0, 0}, "fetchParts": []int{0, 0}},
		"policyLimits": map[string]any{"mostTries": 3, "maxOpen": 1000, "streamsPerConn": 32, "mayCancel": true, "mayProbe": true,
			"dialTimeout": 250, "keepalive": 30000},
		"rules": map[string]any{"cold": 15000, "coldFrom": 0.16, "fall": 3000, "fallMultiple": 3, "drainGrace": 250}}
}

// drainAfterPause pauses brokers as machines that stand still do, tells each of a drain meanwhile, and looks at what the draining
// node gets from it afterwards. The node finishes what it has and ends. Each broker has an agent of discovery of its own, so that each is told at a known time; the nodes
// are the same for all. A node that is listed as leaving by one agent is listed so by all others 2 s later.
func drainAfterPause(r *run) (int, error) {
	var agents []*discovery
	var written [drainBrokers]sync.Map
	for i := range drainBrokers {
		d, err := newDiscovery()
		if err != nil {
			return 0, err
		}
		d.written = func(seq int, at time.Time) { written[i].LoadOrStore(seq, at) }
		agents = append(agents, d)
	}
	const spare = 9
	var hosts []host
	// nodesOf has, for each broker, its own stand-ins: a broker reaches a node at an address that no other broker has (dial may
	// differ from broker to broker), so that the node's record tells from which broker a part came.
	var nodesOf [drainBrokers][]*node
	for i := range pausedBrokers*pauses + spare {
		hosts = append(hosts, host{Host: fmt.Sprintf("s-%d", i), Site: "a", Class: "m2", Block: i % 3, Health: "active", Share: 1})
		for j := range drainBrokers {
			n, err := newNode(fmt.Sprintf("s-%d", i), func(int, string) time.Duration { return partTime })
			if err != nil {
				return 0, err
			}
			nodesOf[j] = append(nodesOf[j], n)
			h := hosts[i]
			h.Dial = n.addr()
			agents[j].set(h)
		}
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	honest := [2]*load{{perSecond: 50}, {perSecond: 25}}
	var brokers []*broker
	settings := smallSettings()
	settings["instances"] = drainBrokers
	for _, lane := range settings["lanes"].([]map[string]any) {
		lane["target"] = 4000
	}
	var mu sync.Mutex
	// failedOrders has the status of each order that was not answered, by its id.
	failedOrders := map[string]int{}
	for j := range drainBrokers {
		name, listen := fmt.Sprintf("b%d", j+1), freeAddr()
		if err := writeConfig(r.path(name+".json"), name, listen, agents[j].addr(), agents[j].known(), settings); err != nil {
			return 0, err
		}
		b, err := r.start(name, "exec bin/brackenfront", listen, r.path(name+".json"))
		if err != nil {
			return 0, err
		}
		brokers = append(brokers, b)
		c := newClients(listen)
		for k, class := range []string{"quote", "order"} {
			honest[k].run(c, class, 6, 3*time.Second, stop, &running, func(res result) {
				if res.status != 200 && res.class == "order" {
					mu.Lock()
					failedOrders[res.id] = res.status
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	late, told := 0, 0
	var lateParts []string
	var pausing sync.WaitGroup
	for j := range pausedBrokers {
		pausing.Go(func() {
			// Each stands still at times of its own.
			time.Sleep(time.Duration(j) * pauseEvery / pausedBrokers)
			for p := range pauses {
				began := time.Now()
				i := j*pauses + p
				h, n := hosts[i], nodesOf[j][i]
				h.Dial, h.Health = n.addr(), "leaving"
				if r.trouble {
					brokers[j].signal(syscall.SIGSTOP)
				}
				time.Sleep(toldAfter)
				seq := agents[j].set(h)
				var toldAt time.Time
				for toldAt.IsZero() {
					if at, ok := written[j].Load(seq); ok {
						toldAt = at.(time.Time)
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(time.Until(began.Add(pauseTime)))
				if r.trouble {
					brokers[j].signal(syscall.SIGCONT)
				}
				paused := time.Since(began)
				time.Sleep(time.Until(toldAt.Add(goneAfter)))
				n.stop()
				h.Health = "left"
				agents[j].set(h)
				time.Sleep(700 * time.Millisecond)
				for other := range drainBrokers {
					if other != j {
						o := hosts[i]
						o.Dial, o.Health = nodesOf[other][i].addr(), "leaving"
						agents[other].set(o)
					}
				}
				mu.Lock()
				told++
				r.note("b%d stood still for %.3f s (trouble: %t); after %.3f s of it discovery wrote to it that %s is leaving", j+1, paused.Seconds(), r.trouble, toldAt.Sub(began).Seconds(), h.Host)
				for _, a := range n.takeArrivals() {
					if after := a.at.Sub(toldAt); after > drainGrace+socketSlack {
						late++
						lateParts = append(lateParts, a.id)
						r.note("    %s got part %s from b%d %.3f s after b%d was told", h.Host, a.id, j+1, after.Seconds(), j+1)
					}
				}
				mu.Unlock()
				time.Sleep(time.Until(began.Add(pauseEvery)))
			}
		})
	}
	pausing.Wait()
	close(stop)
	running.Wait()
	for k, class := range []string{"quote", "order"} {
		r.note("%s: %d sent, %d answered, %d refused, %d failed or other", class, honest[k].sent.Load(), honest[k].answered.Load(), honest[k].refused.Load(), honest[k].other.Load())
	}
	lost := 0
	for _, part := range lateParts {
		id, _, _ := strings.Cut(part, ".")
		if status, ok := failedOrders[id]; ok {
			lost++
			r.note("order %s, sent to the leaving node too late, was cut by that node's end and answered %d", id, status)
		}
	}
	r.note("%d accepted orders failed because their part was sent too late to a node that was known to leave", lost)
	r.note("%d drains told, %d parts sent more than %v after that", told, late, drainGrace+socketSlack)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
