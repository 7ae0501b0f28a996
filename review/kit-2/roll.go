package kit2

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// supervised keeps a broker running: it starts it again when it ends without an error, as a supervisor does.
type supervised struct {
	name    string
	mu      sync.Mutex
	current *broker
	starts  []time.Time
	stopped bool
	// crash is set while the broker is killed to be started again.
	crash bool
}

// supervise starts the broker and goes on starting it until the case ends.
func (r *run) supervise(name, command, listen, config string) (*supervised, error) {
	s := &supervised{name: name}
	start := func() error {
		b, err := r.start(name, command, listen, config)
		if err != nil {
			return err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.current = b
		s.starts = append(s.starts, time.Now())
		return nil
	}
	if err := start(); err != nil {
		return nil, err
	}
	go func() {
		for {
			s.mu.Lock()
			b := s.current
			s.mu.Unlock()
			<-b.ended
			s.mu.Lock()
			again, wait := !s.stopped && b.cmd.ProcessState.Success(), 100*time.Millisecond
			if s.crash && !s.stopped {
				again, wait, s.crash = true, 1500*time.Millisecond, false
			}
			s.mu.Unlock()
			r.note("%s has ended: %s", name, b.cmd.ProcessState)
			if !again {
				return
			}
			time.Sleep(wait)
			if err := start(); err != nil {
				r.note("%s: %v", name, err)
				return
			}
		}
	}()
	return s, nil
}

// startsAfter returns the times at which the broker was started after a moment.
func (s *supervised) startsAfter(moment time.Time) (times []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.starts {
		if at.After(moment) {
			times = append(times, at)
		}
	}
	return times
}

// crashNow kills the broker; it is started again a little later.
func (s *supervised) crashNow() {
	s.mu.Lock()
	s.crash = true
	b := s.current
	s.mu.Unlock()
	b.cmd.Process.Kill()
}

// kill ends the broker for good.
func (s *supervised) kill() {
	s.mu.Lock()
	s.stopped = true
	b := s.current
	s.mu.Unlock()
	b.kill()
}

// operator runs an operator's command and returns its exit status and output.
func (r *run) operator(options string, args string) int {
	cmd := exec.Command("/bin/sh", "-c", "exec bin/brackenflight "+options+" "+args)
	cmd.Dir = os.Getenv("ROOT")
	began := time.Now()
	out, err := cmd.CombinedOutput()
	status := 0
	if err != nil {
		status = -1
		if cmd.ProcessState != nil {
			status = cmd.ProcessState.ExitCode()
		}
	}
	r.note("operator, given %.3f s ago: %s: exit status %d\n%s", time.Since(began).Seconds(), args, status, strings.TrimRight(string(out), "\n"))
	return status
}

// stopOverwritten gives two instructions while the leader of a rolling restart is gone: to stop, and to leave one broker out.
func stopOverwritten(r *run) (int, error) {
	d, err := newDiscovery()
	if err != nil {
		return 0, err
	}
	n, err := newNode("s-0", func(int, string) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return 0, err
	}
	for block := range 3 {
		d.set(host{Host: fmt.Sprintf("s-%d", block), Dial: n.addr(), Site: "a", Class: "m2", Block: block, Health: "active", Share: 1})
	}
	const brokers = 6
	var council []string
	var addrs []string
	for i := range brokers {
		addrs = append(addrs, freeAddr())
		if i < 3 {
			council = append(council, fmt.Sprintf("b%d=%s", i+1, addrs[i]))
		}
	}
	keys := r.path("keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("5c", 32)+"\n"), 0o600); err != nil {
		return 0, err
	}
	common := "--set 'fleet.council=" + strings.Join(council, ";") + "' --set fleet.keys=" + keys + ""
	all := map[string]*supervised{}
	var mu sync.Mutex
	var starting sync.WaitGroup
	var failure error
	for i := range brokers {
		name := fmt.Sprintf("b%d", i+1)
		listen, config := freeAddr(), r.path(name+".json")
		if err := writeConfig(config, name, listen, d.addr(), d.known(), smallSettings()); err != nil {
			return 0, err
		}
		options := common + " --set fleet.broker=" + name + " --set fleet.listen=" + addrs[i] + " --set fleet.roll=true --set fleet.restarts=true"
		if i < 3 {
			dir := r.path("council-" + name)
			os.MkdirAll(dir, 0o700)
			options += " --set fleet.dir=" + dir
		}
		starting.Go(func() {
			s, err := r.supervise(name, "exec bin/brackenflight "+options, listen, config)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = err
				return
			}
			all[name] = s
		})
	}
	starting.Wait()
	defer func() {
		for _, s := range all {
			s.kill()
		}
	}()
	if failure != nil {
		return 0, failure
	}
	options := common + " --set fleet.broker=b4"
	holder := ""
	for began := time.Now(); holder == "" && time.Since(began) < 40*time.Second; time.Sleep(300 * time.Millisecond) {
		out, err := exec.Command("/bin/sh", "-c", "cd "+os.Getenv("ROOT")+" && exec bin/brackenflight "+options+" fleet --json leases").Output()
		var leases struct {
			Leases []map[string]any `json:"leases"`
		}
		if err == nil && json.Unmarshal(out, &leases) == nil {
			for _, l := range leases.Leases {
				raw, _ := json.Marshal(l)
				if strings.Contains(string(raw), `"fleet-roll"`) {
					for name := range all {
						if strings.Contains(string(raw), `"broker":"`+name+`"`) || strings.Contains(string(raw), `"owner":"`+name+`"`) || strings.Contains(string(raw), `"held_by":"`+name+`"`) {
							holder = name
						}
					}
				}
			}
		}
	}
	if holder == "" {
		return 0, fmt.Errorf("nobody leads")
	}
	r.note("%s leads rolling restarts", holder)
	if status := r.operator(options, "fleet roll begin restart --at-once 1 --wait 40s"); status != 0 {
		return 0, fmt.Errorf("the rolling restart has not begun")
	}
	begun := time.Now()
	for began := begun; ; time.Sleep(20 * time.Millisecond) {
		if len(all["b4"].startsAfter(begun)) > 0 {
			break
		}
		if time.Since(began) > 20*time.Second {
			return 0, fmt.Errorf("b4 was not restarted")
		}
	}
	r.note("b4 was restarted")
	if r.trouble {
		r.note("the leading broker, %s, is killed; it will be started again", holder)
		all[holder].crashNow()
	}
	// Within some twenty ticks the council has a leader again.
	time.Sleep(3 * time.Second)
	var commands sync.WaitGroup
	stopStatus := -1
	var stopped time.Time
	commands.Go(func() {
		stopStatus = r.operator(options, "fleet roll stop")
		stopped = time.Now()
	})
	time.Sleep(1500 * time.Millisecond)
	commands.Go(func() { r.operator(options, "fleet roll skip b6") })
	commands.Wait()
	if stopStatus != 0 {
		r.note("the operator was told that the rolling restart was not stopped")
		return held, nil
	}
	time.Sleep(15 * time.Second)
	r.operator(options, "fleet roll")
	// A turn that is in progress goes on, so one restart may still be seen.
	after := 0
	for name, s := range all {
		for _, at := range s.startsAfter(stopped) {
			after++
			r.note("%s was restarted %.3f s after the operator was told that the instruction to stop is done", name, at.Sub(stopped).Seconds())
		}
	}
	if after > 1 {
		return broken, nil
	}
	return held, nil
}
