package fleetrig

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/wire"
	"brackenfront/internal/standin"
)

// Site is a fleet of several broker processes of the program itself, with stand-in nodes that they send parts to, and a Link from
// each process to each other member of the council. A process that has ended without an error is started again. Its methods may be
// called from any goroutine, except Start and Close.
type Site struct {
	// StandIns makes the stand-in nodes and records what they receive.
	StandIns *standin.Script
	// Programs are the processes; the first ones are the council's voters.
	Programs []*Program
	// FirstNodeLink is the relay before the first node; the programs know the node by the relay's address.
	FirstNodeLink *Link

	// dir is the folder of all files of the site.
	dir string
	// keys is the path of the file with the keys by which the processes authenticate each other.
	keys string
	// voters is the number of members of the council.
	voters int
	// nodes are the stand-in nodes.
	nodes []*standin.ScriptedNode
	// links are the relays through which processes reach voters; NewSite creates them. A key holds two indices in Programs: first that of
	// the process that dials, then that of the voter.
	links map[[2]int]*Link
	// mu guards events.
	mu sync.Mutex
	// events are what has happened to the processes so far, in the order in which addEvent recorded it.
	events []Event
	// closing says that Close was called, so that a process that ends is not started again.
	closing atomic.Bool
}

// Event is something that happened to a process of a Site: a line that it logged, its start, kill or end, or its exit with an error.
type Event struct {
	// At is when the event happened, by the wall clock; for a log line with a time, that time.
	At time.Time
	// Program is the name of the process.
	Program string
	// Message is a log line's message; without a log line, it is "started", "killed" or "ended". It is empty for a line without a message
	// and for an exit with an error.
	Message string
	// Line is the whole log line, or "exit status N" for an exit with an error; empty for other events.
	Line string
}

// SiteConfig is the configuration of a Site: how many processes and nodes it has, and their settings.
type SiteConfig struct {
	// Brokers is the number of processes, Voters how many of them are members of the council, and Nodes the number of
	// stand-in nodes.
	Brokers, Voters, Nodes int
	// TTL is the time to live of leases, and Tick the interval of the council's timer.
	TTL, Tick time.Duration
	// Settings are further --set options of the program, as NAME=VALUE.
	Settings []string
	// Dir is the folder in which the site creates its own folder; empty for the system's temporary folder.
	Dir string
}

// programConfig is the text of each process's configuration file, as JSON, with placeholders in upper case that NewSite replaces.
const programConfig = `{"name":"NAME","listen":"LISTEN","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":41,"whole":true,"hosts":[HOSTS]},
 "settings":{"instances":BROKERS,"tick":5,"myZone":"a","discovery":"pushed","worthBy":"request",
 "lanes":[{"name":"all","effect":"read_like","target":400,"giveUp":1000,"worth":1,"window":1000}],
 "tenants":[{"name":"acme","quotaPerS":100000}],
 "familyInfo":{"perCall":1,"places":2,"reach":1,"slices":2,"classNeed":[1],"minShare":[1],"incompleteWorth":[0],"fetchParts":[0]},
 "policyLimits":{"mostTries":3,"maxOpen":2000,"streamsPerConn":32,"mayCancel":true,"mayProbe":true,"dialTimeout":300,"keepalive":30000},
 "rules":{"cold":1000,"coldFrom":0.5,"fall":1000,"fallMultiple":3}}}`

// NewSite creates the files, nodes and links of a site, and starts no process. The caller has to call Close. It returns an
// error if a file or listener cannot be created.
func NewSite(config SiteConfig) (s *Site, err error) {
	s = &Site{StandIns: standin.NewScript(), links: map[[2]int]*Link{}, voters: config.Voters}
	if s.dir, err = os.MkdirTemp(config.Dir, "site"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	s.keys = filepath.Join(s.dir, "keys")
	if err = writeKeys(s.keys); err != nil {
		return nil, err
	}
	hosts, err := s.createNodes(config.Nodes)
	if err != nil {
		return nil, err
	}
	// Sites of one process differ in their ports, and those of different processes in their loopback addresses.
	group := int(fleetNumber.Add(1))
	for i := range config.Brokers {
		program := &Program{Name: fmt.Sprintf("b%02d", i), Voter: i < config.Voters, site: s, index: i}
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, i+1)
		program.ClientAddr = fmt.Sprintf("%s:%d", ip, 5000+group%100)
		program.FleetAddr = fmt.Sprintf("%s:%d", ip, 5200+group%1000)
		program.ConfigFile = filepath.Join(s.dir, program.Name+".json")
		placeholders := []string{"NAME", program.Name, "LISTEN", program.ClientAddr, "BROKERS", fmt.Sprint(config.Brokers), "HOSTS", strings.Join(hosts, ",")}
		if err = os.WriteFile(program.ConfigFile, []byte(strings.NewReplacer(placeholders...).Replace(programConfig)), 0o600); err != nil {
			return nil, err
		}
		s.Programs = append(s.Programs, program)
	}
	for i := range s.Programs {
		if err = s.configureFleet(i, config); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// createNodes creates a number of stand-in nodes, and FirstNodeLink before the first one. It returns the nodes' entries in the list of
// nodes, each a JSON object.
func (s *Site) createNodes(number int) (entries []string, err error) {
	for i := range number {
		node, err := s.StandIns.NewNode(fmt.Sprint("s-", i), i%2, false)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, node)
		entry := node.DiscoveryEntry()
		if i == 0 {
			if s.FirstNodeLink, err = NewLink(node.Addr()); err != nil {
				return nil, err
			}
			entry = strings.Replace(entry, node.Addr(), s.FirstNodeLink.Addr(), 1)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// configureFleet sets the command-line arguments of the process with the index i in Programs: the settings that make it a broker of the
// site's fleet, and the further ones of config. It creates the links from the process to the other voters and, for a voter, the folder of
// its storage.
func (s *Site) configureFleet(i int, config SiteConfig) error {
	program := s.Programs[i]
	var council []string
	for k, voter := range s.Programs[:config.Voters] {
		addr := voter.FleetAddr
		if k != i {
			link, err := NewLink(voter.FleetAddr)
			if err != nil {
				return err
			}
			s.links[[2]int{i, k}] = link
			addr = link.Addr()
		}
		council = append(council, voter.Name+"="+addr)
	}
	settings := append([]string{
		"fleet.council=" + strings.Join(council, ";"),
		"fleet.broker=" + program.Name,
		"fleet.listen=" + program.FleetAddr,
		"fleet.keys=" + s.keys,
		fmt.Sprintf("fleet.ttl_ms=%d", config.TTL.Milliseconds()),
		fmt.Sprintf("fleet.tick_ms=%d", config.Tick.Milliseconds()),
		"fleet.drift_permille=50",
	}, config.Settings...)
	if program.Voter {
		dir := filepath.Join(s.dir, program.Name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		settings = append(settings, "fleet.dir="+dir)
	}
	for _, setting := range settings {
		program.args = append(program.args, "--set", setting)
	}
	return nil
}

// Start starts all processes and waits until they are ready, as WaitUntilReady does.
func (s *Site) Start(ctx context.Context) error {
	for _, p := range s.Programs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return s.WaitUntilReady(ctx)
}

// WaitUntilReady waits until all processes accept searches and all have a session with the council. An error means that this did not
// happen within progressTimeout, or that ctx has ended; its text contains the last lines of the processes' logs.
func (s *Site) WaitUntilReady(ctx context.Context) error {
	ok := s.Wait(ctx, progressTimeout, func() bool {
		for _, p := range s.Programs {
			if !p.Ready(ctx) {
				return false
			}
		}
		known, err := s.AdminClient().Brokers(ctx)
		return err == nil && len(known) >= len(s.Programs)
	})
	if !ok {
		return fmt.Errorf("not all processes of the site are ready\n%s", s.Logs(12))
	}
	return nil
}

// AdminClient returns an operator's client of the council, which connects to the council directly and not through the site's links.
func (s *Site) AdminClient() fleet.AdminClient {
	client := fleet.AdminClient{Environment: fleet.RealEnvironment()}
	client.Keys, _ = wire.ReadKeys(s.keys)
	for _, p := range s.Programs[:s.voters] {
		client.Council = append(client.Council, fleet.CouncilBroker{Broker: p.Name, Addr: p.FleetAddr})
	}
	return client
}

// Wait polls a condition every 5 ms and returns true once it holds; it returns false if the condition does not hold within the timeout, or
// once ctx has ended.
func (s *Site) Wait(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// addEvent records an event of a process. The process's Program calls it when it starts, kills or reads the log of the process.
func (s *Site) addEvent(e Event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
}

// Events returns what has happened to all processes so far (log lines, starts, kills and ends), in the order in which the rig recorded it;
// Event.At may be in another order.
func (s *Site) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events)
}

// Logs returns the text of the last events of each process, at most the given number for each: log lines, and starts, kills and ends with
// their times. Log lines about ended connections are left out.
func (s *Site) Logs(lines int) string {
	events := s.Events()
	var text strings.Builder
	for _, p := range s.Programs {
		var own []string
		for _, e := range events {
			if e.Program == p.Name && e.Message != "connection ended" {
				own = append(own, cmp.Or(e.Line, e.At.Format("05.000 ")+e.Message))
			}
		}
		fmt.Fprintf(&text, "== %s\n%s\n", p.Name, strings.Join(own[max(0, len(own)-lines):], "\n"))
	}
	return text.String()
}

// Crashes returns the log lines that report a data race, a panic, a fatal error or an exit with an error; each begins with the process's
// name and ": ".
func (s *Site) Crashes() (lines []string) {
	for _, e := range s.Events() {
		for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: ", "exit status"} {
			if strings.Contains(e.Line, sign) {
				lines = append(lines, e.Program+": "+e.Line)
			}
		}
	}
	return lines
}

// Close kills all processes, closes links and nodes, and removes the site's files.
func (s *Site) Close() {
	s.closing.Store(true)
	for _, p := range s.Programs {
		p.Kill()
	}
	for _, p := range s.Programs {
		p.goroutines.Wait()
	}
	for _, link := range s.links {
		link.Close()
	}
	if s.FirstNodeLink != nil {
		s.FirstNodeLink.Close()
	}
	for _, node := range s.nodes {
		node.Close()
	}
	os.RemoveAll(s.dir)
}
