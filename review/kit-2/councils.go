package kit2

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"time"
)

const (
	// councilBrokers is how many brokers the case has: three founders, and two that take places of theirs.
	councilBrokers = 5
	// settleTime is how long the councils have, after the last start, until it is looked who holds the lease: two and a half
	// lease times of 10 s.
	settleTime = 25 * time.Second
	// looks is how often it is looked who has written a report in the last lookTime.
	looks    = 4
	lookTime = 3 * time.Second
)

// councilFleet is a fleet of brackenflight processes, b1 to b5, with the default lease times.
type councilFleet struct {
	*run
	discovery *discovery
	keys      string
	// addrs are the addresses for the fleet, by the broker's number less one; running are the processes.
	addrs   [councilBrokers]string
	running [councilBrokers]*broker
}

// seats returns the option fleet.council with the brokers of these numbers.
func (f *councilFleet) seats(numbers ...int) string {
	var entries []string
	for _, n := range numbers {
		entries = append(entries, fmt.Sprintf("b%d=%s", n, f.addrs[n-1]))
	}
	return strings.Join(entries, ";")
}

// dir and report are the folder of a broker's council storage and the file of its report; each broker has its own, as on a machine
// of its own.
func (f *councilFleet) dir(n int) string    { return f.path(fmt.Sprintf("council-b%d", n)) }
func (f *councilFleet) report(n int) string { return f.path(fmt.Sprintf("report-b%d", n)) }

// startBroker starts broker n with this council in its options.
func (f *councilFleet) startBroker(n int, seats string) error {
	name, listen := fmt.Sprintf("b%d", n), freeAddr()
	config := f.path(name + ".json")
	os.MkdirAll(f.dir(n), 0o700)
	if err := writeConfig(config, name, listen, f.discovery.addr(), f.discovery.known(), smallSettings()); err != nil {
		return err
	}
	b, err := f.start(name, "exec bin/brackenflight --set 'fleet.council="+seats+"' --set fleet.keys="+f.keys+" --set fleet.broker="+name+
		" --set fleet.listen="+f.addrs[n-1]+" --set fleet.dir="+f.dir(n)+" --set fleet.report="+f.report(n)+" --set fleet.report_s=1", listen, config)
	f.running[n-1] = b
	return err
}

// kill ends broker n at once.
func (f *councilFleet) kill(n int) {
	f.running[n-1].kill()
	f.note("b%d is killed", n)
}

// ask runs an operator's command and returns its output and whether it succeeded.
func (f *councilFleet) ask(seats, args string) (string, bool) {
	cmd := exec.Command("/bin/sh", "-c", "exec bin/brackenflight --set 'fleet.council="+seats+"' --set fleet.keys="+f.keys+" --set fleet.broker=operator fleet "+args)
	cmd.Dir = os.Getenv("ROOT")
	out, err := cmd.CombinedOutput()
	return strings.TrimRight(string(out), "\n"), err == nil
}

// replace has broker newcomer take the place of another, as docs/fleet.md says, and waits until it has its vote.
func (f *councilFleet) replace(seats string, former, newcomer int) error {
	voter := regexp.MustCompile(fmt.Sprintf(`(?m)^b%d +127\.0\.0\.1:\d+ +true +\d`, newcomer))
	accepted := false
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		if !accepted {
			_, accepted = f.ask(seats, fmt.Sprintf("council replace b%d b%d", former, newcomer))
			continue
		}
		if out, _ := f.ask(seats, "status"); voter.MatchString(out) {
			f.note("b%d has taken the place of b%d:\n%s", newcomer, former, out)
			return nil
		}
	}
	return fmt.Errorf("b%d did not take the place of b%d", newcomer, former)
}

// writers returns the brokers whose reports have changed within lookTime.
func (f *councilFleet) writers() (names []string) {
	stamp := func(n int) time.Time {
		if info, err := os.Stat(f.report(n)); err == nil {
			return info.ModTime()
		}
		return time.Time{}
	}
	var before [councilBrokers]time.Time
	for i := range before {
		before[i] = stamp(i + 1)
	}
	time.Sleep(lookTime)
	for i := range before {
		if stamp(i+1) != before[i] {
			raw, _ := os.ReadFile(f.report(i + 1))
			f.note("b%d has written a report in the last %v: %.70s", i+1, lookTime, strings.Join(strings.Fields(string(raw)), " "))
			names = append(names, fmt.Sprintf("b%d", i+1))
		}
	}
	return names
}

// twoCouncils replaces two brokers of a council by others, starts the former ones again with blank disks, and has the third founder
// lose its disk.
func twoCouncils(r *run) (int, error) {
	f := &councilFleet{run: r, keys: r.path("keys")}
	var err error
	if f.discovery, err = newDiscovery(); err != nil {
		return 0, err
	}
	n, err := newNode("s-0", func(int, string) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return 0, err
	}
	for block := range 3 {
		f.discovery.set(host{Host: fmt.Sprintf("s-%d", block), Dial: n.addr(), Site: "a", Class: "m2", Block: block, Health: "active", Share: 1})
	}
	if err := os.WriteFile(f.keys, []byte(strings.Repeat("5c", 32)+"\n"), 0o600); err != nil {
		return 0, err
	}
	for i := range f.addrs {
		f.addrs[i] = freeAddr()
	}
	founders, second, third := f.seats(1, 2, 3), f.seats(1, 4, 3), f.seats(1, 4, 5)
	for _, n := range []int{1, 2, 3} {
		if err := f.startBroker(n, founders); err != nil {
			return 0, err
		}
	}
	for began := time.Now(); ; time.Sleep(300 * time.Millisecond) {
		if out, ok := f.ask(founders, "status"); ok && strings.Contains(out, " leads ") {
			break
		}
		if time.Since(began) > 20*time.Second {
			return 0, fmt.Errorf("the council has no leader")
		}
	}
	// The machine of b2 has to be replaced, and later that of b3.
	if err := f.startBroker(4, second); err != nil {
		return 0, err
	}
	if err := f.replace(founders, 2, 4); err != nil {
		return 0, err
	}
	f.kill(2)
	if err := f.startBroker(5, third); err != nil {
		return 0, err
	}
	if err := f.replace(second, 3, 5); err != nil {
		return 0, err
	}
	f.kill(3)
	// They come back repaired, as brokers without a seat: with blank disks, and with the options that they had.
	for _, n := range []int{2, 3} {
		os.RemoveAll(f.dir(n))
		if err := f.startBroker(n, founders); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	f.kill(1)
	if r.trouble {
		os.RemoveAll(f.dir(1))
		f.note("b1 has lost its disk, and is started with an empty directory")
	}
	if err := f.startBroker(1, founders); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	for _, seats := range []string{f.seats(4, 5, 1), f.seats(2, 3, 1)} {
		status, _ := f.ask(seats, "status")
		leases, _ := f.ask(seats, "leases")
		f.note("asked with fleet.council=%s:\n%s\n%s", seats, status, leases)
	}
	several := 0
	for range looks {
		names := f.writers()
		f.note("written by %d: %s", len(names), strings.Join(names, ", "))
		if len(names) > 1 {
			several++
		}
	}
	for _, b := range f.running {
		raw, _ := os.ReadFile(b.log)
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "it is founded") || strings.Contains(line, "new disk") {
				f.note("log of %s: %s", b.name, strings.TrimSpace(line))
			}
		}
	}
	// One that hands the lease over may have written within the same look as the next; not in each look.
	if several == looks {
		return broken, nil
	}
	return held, nil
}
