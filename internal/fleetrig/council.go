package fleetrig

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/fleet"
	"brackenfront/lease"
)

// Council is a council of three child processes that are connected directly, without Links. Its methods must not be called
// concurrently.
type Council struct {
	// cluster runs the three processes of the council.
	cluster *cluster
	// nodeConfig is the configuration of fleet nodes that use this council, complete except for the node's name.
	nodeConfig fleet.Config
}

// NewCouncil starts a council of three child processes, which grants leases of ttl seconds, and waits until it has a leader. It fails if
// there is none after progressTimeout, or once ctx has ended; the council runs on after ctx ends. The caller has to call Close.
func NewCouncil(ctx context.Context, ttl float64) (c *Council, err error) {
	voters, err := newCluster(Scenario{Seed: 1, Voters: 3})
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			voters.remove()
		}
	}()
	c = &Council{cluster: voters}
	terms := lease.DefaultConfig()
	terms.TTL = ttl
	c.nodeConfig = fleet.Config{
		KeyFile:        filepath.Join(voters.dir, "keys"),
		FoundingNumber: 1,
		Terms:          terms,
		Tick:           time.Duration(ttl / 120 * float64(time.Second)),
	}
	for _, voter := range voters.processes {
		voter.orders.NodeConfig.Terms = terms
		voter.orders.NodeConfig.Tick = c.nodeConfig.Tick
		voter.orders.ClockRate = 1
		c.nodeConfig.Council = append(c.nodeConfig.Council, fleet.CouncilBroker{Broker: voter.name, Addr: voter.addr})
		if err = voter.start(); err != nil {
			return nil, err
		}
	}
	if voters.waitForLeader(ctx) == nil {
		err = fmt.Errorf("the council has no leader")
	}
	return c, err
}

// StartNode starts a fleet node in this process, under a name, that uses the council. The caller has to close it.
func (c *Council) StartNode(name string) (*fleet.Node, error) {
	config := c.nodeConfig
	config.Broker = name
	log := logrus.New()
	log.SetOutput(io.Discard)
	return fleet.Start(config, fleet.RealEnvironment(), log)
}

// SetPaused stops all processes of the council with SIGSTOP, or continues them with SIGCONT if paused is false.
func (c *Council) SetPaused(paused bool) {
	for _, voter := range c.cluster.processes {
		if paused {
			voter.signal(syscall.SIGSTOP)
		} else {
			voter.signal(syscall.SIGCONT)
		}
	}
}

// Kill kills all processes of the council and waits until they have ended; their files stay.
func (c *Council) Kill() {
	for _, voter := range c.cluster.processes {
		voter.kill()
	}
}

// Restart starts all processes of the council again after Kill, with the files that they stored before.
func (c *Council) Restart() error {
	for _, voter := range c.cluster.processes {
		if err := voter.start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the council and removes its files.
func (c *Council) Close() { c.cluster.remove() }
