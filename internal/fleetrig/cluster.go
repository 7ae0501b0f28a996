package fleetrig

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"brackenfront/internal/fleet"
	"brackenfront/random"
)

const (
	// freezeBeforeOperation is the number of the operation, counted from 1 over all leases of the actor, before which the first actor stops
	// itself with SIGSTOP in a scenario with FreezeActor.
	freezeBeforeOperation = 10
	// arbitraryRateShare is the probability, from 0 to 1, that a process's clock runs at a random rate within the allowed drift. Otherwise
	// the clock is exact or runs at the highest or lowest allowed rate.
	arbitraryRateShare = 0.3
)

// cluster is the running fleet of a scenario. It has voters, the members of the council, and actors, the processes that take leases
// and operate on the checker under them.
type cluster struct {
	// Scenario is the scenario that the cluster was created for.
	Scenario
	// random is the source of the random clock rates and of the random schedule of faults, seeded with Scenario.Seed.
	random random.Source
	// dir is the folder of all files of the cluster; remove deletes it.
	dir string
	// checker records the operations and claims of the processes.
	checker *Checker
	// processes are all processes: first the voters (members of the council), then the actors (which operate under leases).
	processes []*process
	// links are the relays through which processes reach voters. A key holds two indices in processes: first that of the process that
	// dials, then that of the voter.
	links map[[2]int]*Link
	// targetLinks are the relays through which the actors reach the checker, one for each actor, in their order.
	targetLinks []*Link
}

// fleetNumber counts up with each set of addresses and each key that this process has made for a fleet so far, so that no two fleets share
// either.
var fleetNumber atomic.Int32

// newCluster creates the folders, the checker, the links and the Orders of each process, and starts no process. The caller has
// to call remove. It returns an error if a folder, file or listener cannot be created.
func newCluster(s Scenario) (*cluster, error) {
	c := &cluster{Scenario: s, links: map[[2]int]*Link{}}
	c.random.Seed(s.Seed)
	if err := c.build(); err != nil {
		c.remove()
		return nil, err
	}
	return c, nil
}

// build creates the folders, the checker, the links and the Orders of each process. It returns an error if a folder, file or listener
// cannot be created; what it has created by then is left for remove to clean up.
func (c *cluster) build() (err error) {
	if c.dir, err = os.MkdirTemp(c.Dir, "fleet"); err != nil {
		return err
	}
	if c.checker, err = NewChecker(machineNow, !c.NoLeaseChecks); err != nil {
		return err
	}
	keys := filepath.Join(c.dir, "keys")
	if err := writeKeys(keys); err != nil {
		return err
	}
	group := int(fleetNumber.Add(1))
	for i := range c.Voters + c.Actors {
		p, err := c.newProcess(i, group)
		if err != nil {
			return err
		}
		c.processes = append(c.processes, p)
	}
	for i := range c.processes {
		if err := c.setOrders(i, keys); err != nil {
			return err
		}
	}
	return nil
}

// writeKeys writes a key file for the fleet, with a key that no other fleet of this machine uses.
func writeKeys(path string) error {
	key := strings.Repeat(fmt.Sprintf("%08x", fleetNumber.Add(1)), 4) + fmt.Sprintf("%032x", os.Getpid())
	return os.WriteFile(path, []byte(key), 0o600)
}

// newProcess creates the folder and the log of the i-th process, and starts nothing. Voters listen on loopback addresses of
// their own; group tells the fleets of this process apart.
func (c *cluster) newProcess(i, group int) (*process, error) {
	p := &process{cluster: c, name: fmt.Sprint("c", i-c.Voters)}
	if i < c.Voters {
		p.name = fmt.Sprint("b", i)
		p.voter = true
		p.addr = fmt.Sprintf("127.%d.%d.%d:%d", 20+os.Getpid()%200, os.Getpid()/200%250, i+1, 5200+group%1000)
	}
	p.dir = filepath.Join(c.dir, p.name)
	if err := os.Mkdir(p.dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(c.dir, p.name+".log"))
	return p, err
}

// setOrders sets the Orders of the i-th process, with a randomly drawn clock rate, and creates the links through which it reaches
// the voters and, unless it is a voter, the checker. keys is the path of the file of the fleet's keys.
func (c *cluster) setOrders(i int, keys string) error {
	proc := c.processes[i]
	proc.orders = Orders{
		ClockRate:       c.drawRate(proc.voter),
		DriftMargin:     !c.NoDriftMargin,
		IgnoresLeaseEnd: c.NoLeaseChecks,
		Budgets:         c.budgetSpecs(),
		ShareBaseline:   c.ShareBaseline,
		Seed:            c.Seed + uint64(i),
		NodeConfig:      fleet.Config{Broker: proc.name, KeyFile: keys, FoundingNumber: 1, Terms: c.leaseConfig(), Tick: tick, SharedBudgets: c.Budgets},
	}
	if err := c.linkVoters(i); err != nil {
		return err
	}
	if proc.voter {
		proc.orders.NodeConfig.Listen = proc.addr
		proc.orders.NodeConfig.CouncilDir = proc.dir
		return nil
	}
	link, err := NewLink(c.checker.Addr())
	if err != nil {
		return err
	}
	c.targetLinks = append(c.targetLinks, link)
	proc.orders.TargetAddr = link.Addr()
	proc.orders.Leases = leases
	if c.FreezeActor && i == c.Voters {
		proc.orders.FreezeAt = freezeBeforeOperation
	}
	return nil
}

// drawRate returns a random rate for a process's clock, as a multiple of the rate of the machine's clock. With Scenario.NoDriftMargin it is
// not random but the worst case: the clocks of voters (council members) run fast and those of other processes, which take leases, run slow,
// both by the largest drift that leases allow for.
func (c *cluster) drawRate(voter bool) float64 {
	drift := c.leaseConfig().MaxClockDrift
	if c.NoDriftMargin && voter {
		return 1 + drift
	}
	if c.NoDriftMargin {
		return 1 - drift
	}
	rate := 1 + drift*math.Round(2*c.random.Float64()-1)
	if c.random.Float64() < arbitraryRateShare {
		rate = 1 + drift*(2*c.random.Float64()-1)
	}
	return rate
}

// linkVoters creates the links from the i-th process to the voters, and sets the council's addresses in the process's configuration:
// those of the links to the other voters, and its own address if it is a voter itself. It returns an error if a link cannot listen.
func (c *cluster) linkVoters(i int) error {
	config := &c.processes[i].orders.NodeConfig
	for v := range c.Voters {
		voter := c.processes[v]
		addr := voter.addr
		if v != i {
			link, err := NewLink(addr)
			if err != nil {
				return err
			}
			c.links[[2]int{i, v}] = link
			addr = link.Addr()
		}
		config.Council = append(config.Council, fleet.CouncilBroker{Broker: voter.name, Addr: addr})
	}
	return nil
}

// start starts all processes in turn. It returns the error of the first one that cannot be started, and starts no others then.
func (c *cluster) start() error {
	for _, p := range c.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and closes the links. Logs and the checker's records stay. It may be called more than once.
func (c *cluster) stop() {
	for _, p := range c.processes {
		p.kill()
		p.log.Sync()
	}
	for _, link := range c.links {
		link.Close()
	}
	for _, link := range c.targetLinks {
		link.Close()
	}
}

// remove kills all processes, closes the links and the checker, and deletes all files of the cluster.
func (c *cluster) remove() {
	c.stop()
	if c.checker != nil {
		c.checker.Close()
	}
	os.RemoveAll(c.dir)
}
