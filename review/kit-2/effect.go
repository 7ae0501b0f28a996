package kit2

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// effectRounds is how often the files are put in place one after the other.
const effectRounds = 5

// effectSettings are small settings with the query types quote and, unless effect is empty, order with that effect.
func effectSettings(effect string) map[string]any {
	settings := smallSettings()
	lane := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "target": 2000, "giveUp": 4000, "worth": 1, "lateWorth": 0.3, "window": 4000}
	}
	lanes := []map[string]any{lane("quote", "read_like")}
	if effect != "" {
		lanes = append(lanes, lane("order", effect))
	}
	settings["lanes"] = lanes
	family := settings["familyInfo"].(map[string]any)
	family["classNeed"], family["minShare"] = []float64{1, 1}[:len(lanes)], []float64{1, 1}[:len(lanes)]
	family["incompleteWorth"], family["fetchParts"] = []float64{0, 0}[:len(lanes)], []int{0, 0}[:len(lanes)]
	return settings
}

// effectAfterGap puts two files in force while a search of order is at nodes: one without that query type, and one in which it must
// not run twice. Without the trouble only the second file comes.
func effectAfterGap(r *run) (int, error) {
	d, err := newDiscovery()
	if err != nil {
		return 0, err
	}
	var nodes []*node
	for block := range 3 {
		n, err := newNode(fmt.Sprintf("s-%d", block), func(int, string) time.Duration { return 1200 * time.Millisecond })
		if err != nil {
			return 0, err
		}
		nodes = append(nodes, n)
		d.set(host{Host: n.name, Dial: n.addr(), Site: "a", Class: "m2", Block: block, Health: "active", Share: 1})
	}
	again := 0
	for round := range effectRounds {
		late, err := r.effectRound(d, nodes, fmt.Sprintf("b%d", round+1))
		if err != nil {
			return 0, err
		}
		again += late
	}
	r.note("%d attempts came later than 0.1 s after the file that forbids a repeat", again)
	if again > 0 {
		return broken, nil
	}
	return held, nil
}

// effectRound does it once, with a broker of its own that has learned nothing from earlier searches. It returns how many attempts came
// later than 0.1 s after the file that forbids a repeat was in force.
func (r *run) effectRound(d *discovery, nodes []*node, name string) (again int, err error) {
	listen, config := freeAddr(), r.path(name+".json")
	if err := writeConfig(config, name, listen, d.addr(), d.known(), effectSettings("read_like")); err != nil {
		return 0, err
	}
	b, err := r.start(name, "exec bin/brackenfront", listen, config)
	if err != nil {
		return 0, err
	}
	defer b.kill()
	// SIGHUP never comes within the first second.
	time.Sleep(1200 * time.Millisecond)
	reloads := 0
	// reload puts a file in place, beside the old one first, sends SIGHUP, and returns when the broker has said that it is in force.
	reload := func(what string, settings map[string]any) (time.Time, error) {
		if err := writeConfig(config+".new", name, listen, d.addr(), d.known(), settings); err != nil {
			return time.Time{}, err
		}
		if err := os.Rename(config+".new", config); err != nil {
			return time.Time{}, err
		}
		b.signal(syscall.SIGHUP)
		reloads++
		for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
			raw, _ := os.ReadFile(b.log)
			if strings.Count(string(raw), "configuration read again") >= reloads {
				if strings.Count(string(raw), "switched=true") < reloads {
					return time.Time{}, fmt.Errorf("%s: not put in force", what)
				}
				r.note("in force: %s", what)
				return time.Now(), nil
			}
		}
		return time.Time{}, fmt.Errorf("%s: not read", what)
	}
	ended := make(chan result, 1)
	go func() { ended <- newClients(listen).search("order", []int{0, 1}, 4*time.Second) }()
	time.Sleep(150 * time.Millisecond)
	if r.trouble {
		if _, err := reload("no order", effectSettings("")); err != nil {
			return 0, err
		}
	}
	time.Sleep(150 * time.Millisecond)
	forbidden, err := reload("order, non_idempotent", effectSettings("non_idempotent"))
	if err != nil {
		return 0, err
	}
	res := <-ended
	attempts := map[string]int{}
	for _, n := range nodes {
		for _, a := range n.takeArrivals() {
			if !strings.HasPrefix(a.id, res.id+".") {
				continue
			}
			r.note("part %s came to %s %.3f s after the file that forbids a repeat", a.id, n.name, a.at.Sub(forbidden).Seconds())
			attempts[a.id]++
			// The first attempts came before, and none is known not to have run.
			if a.at.After(forbidden.Add(100 * time.Millisecond)) {
				again++
			}
		}
	}
	r.note("%s: status %d after %.3f s, attempts by part %v", name, res.status, res.done.Sub(res.sent).Seconds(), attempts)
	if res.err != nil || len(attempts) != 2 {
		return 0, fmt.Errorf("the search did not come to its nodes: %v", res.err)
	}
	return again, nil
}
