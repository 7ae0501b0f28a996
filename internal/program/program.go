// Package program is the daemon of a broker: it reads the command line, the configuration and the operator's options,
// starts the components of the broker, and shuts them down in order. What only some builds have, Arrow Flight and the fleet, is
// passed to Main, so that a build without them does not link their libraries.
//
// Terms of this package:
//   - A frontend accepts the connections of clients of one protocol, HTTP or Flight; a backend keeps the connections to the
//     nodes of one protocol, frames or Flight.
//   - The configuration is the JSON file with the settings of the deployment; the options are the operator's file for one
//     site. A reload reads both again.
//   - The drain is the orderly end of the program: after a short while it accepts no new requests, and it ends once each request
//     in flight has its answer.
//   - The supervisor is the program that started this one and that may start it again.
//   - Discovery is the service that sends the list of nodes. A watch is a subscription to that list.
//   - A zone is a data centre. Failover moves searches away from a zone that has failed, and returns them in stages.
//   - A fleet is the brokers that work together under a council: a few brokers that keep the fleet's records by Raft.
//   - A lease is a right that the council grants to one broker, or a few, for a limited time.
//   - A budget is a limit for all brokers together, such as a dealer's quota. A broker's floor is the amount of it that it
//     is guaranteed; its share is the amount that it has at present.
//   - A rolling restart makes the brokers of a fleet restart, or read their settings again, a few at a time.
package program

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/options"
	"brackenfront/internal/protocol"
	"brackenfront/internal/routing"
	"brackenfront/internal/transport/clients"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
)

// OptionalFeatures are the components that only some builds of the program have; a field is nil if the build lacks that
// component.
type OptionalFeatures struct {
	// Flight adds the frontend for clients and the backend for nodes that speak Arrow Flight.
	Flight *FlightSupport
	// Fleet adds the membership in a fleet of brokers, and the operator's commands to one.
	Fleet *FleetSupport
}

// FlightSupport holds the constructors of the components that speak Arrow Flight, for builds that have them.
type FlightSupport struct {
	// NewNodeBackend makes the backend for nodes that speak Flight; answerMemory limits the bytes of all answers that it
	// keeps in memory. Its connections take turns by peerTurns.
	NewNodeBackend func(config *protocol.Config, operatorOptions *options.Options, answerMemory *parts.MemoryBudget, peerTurns *turns.Scheduler,
		log *logrus.Logger) NodeBackend
	// NewFrontend opens the listener for clients that speak Flight; the frontend serves them once its Serve is called. They
	// take turns by clientTurns.
	NewFrontend func(config *protocol.Config, operatorOptions *options.Options, router *routing.Router, clientTurns *turns.Scheduler,
		log *logrus.Logger) (Frontend, error)
}

// FleetSupport holds the functions by which a process becomes a member of a fleet of brokers, or sends an operator's
// commands to one, for builds that have them; docs/fleet.md describes fleets.
type FleetSupport struct {
	// CheckOptions returns an error, with the name of the option, if the key file that the options name is invalid, the
	// lease times conflict, or a folder cannot be written.
	CheckOptions func(operatorOptions *options.Options) error
	// Join makes this process a member of the fleet that the options name.
	Join func(operatorOptions *options.Options, config *protocol.Config, broker LocalBroker, log *logrus.Logger) (FleetMember, error)
	// RunCommand runs an operator's command and prints its result to the standard output.
	RunCommand func(operatorOptions *options.Options, command FleetCommand) error
}

// LocalBroker holds the functions that the fleet's code calls to read or change the state of the broker in this process. All
// may be called from any goroutine.
type LocalBroker struct {
	// Counters returns this broker's counts since its start, by name, for a report that adds up those of all brokers.
	Counters func() map[string]int64
	// Ready returns whether the broker serves searches: it is not draining and has a list of nodes.
	Ready func() bool
	// ReloadSettings reads the configuration and the options again, as on SIGHUP. An error names what was not applied.
	ReloadSettings func() error
	// DrainForRestart begins the drain, as SIGTERM does, and returns at once. The program ends after the drain; the
	// supervisor that started it is expected to start it again.
	DrainForRestart func()
	// SharesChanged is called by the fleet after this broker's shares of the fleet's budgets have changed, so that connections
	// beyond its share are closed. It does not wait.
	SharesChanged func()
}

// FleetMember is this process as a member of a fleet of brokers. The methods that are called while a search is served
// (CurrentAllowance, CountSearch, ConnectionLimit, RecordMostConnections and RequestProbe) do not wait.
type FleetMember interface {
	// Addr returns the address at which the member listens for the rest of the fleet; empty if it does not listen.
	Addr() string
	// ReloadKeys reads the file with the fleet's keys again; on an error the former keys stay in use. Connections that are
	// open keep the keys that they began with.
	ReloadKeys() error
	// LogCounters logs the counts of the member.
	LogCounters()
	// Close leaves the fleet: it releases this broker's leases and, if this broker leads the council, gives up the
	// leadership. Leases that are not released when ctx ends expire by themselves.
	Close(ctx context.Context)

	routing.AllowanceSource
	// SharesBudgets returns whether the fleet divides budgets among its brokers. If it does, ConfigureBudgets has to be called
	// before CurrentAllowance.
	SharesBudgets() bool
	// ConfigureBudgets passes the fleet the budgets that follow from these settings, such as the dealers' quotas.
	ConfigureBudgets(deployment *protocol.Deployment)
	// ConnectionLimit returns how many connections one node may have from this broker; 0 for any number. It may be called
	// from any goroutine.
	ConnectionLimit() int
	// RecordMostConnections records how many connections this broker has to the node to which it has most, as its use of the
	// fleet's budget of connections to a node.
	RecordMostConnections(most int)

	routing.ProbeCoordinator
	// SharesHealthProbes returns whether one broker of a zone probes unavailable nodes for all brokers of that zone.
	SharesHealthProbes() bool
	// SetProbe sets the function by which this broker probes the node at an address for other brokers; it has to be called
	// before the first RequestProbe. The function calls report once, from any goroutine: probed says whether the node was
	// probed at all, and ok whether it is healthy.
	SetProbe(probe func(address string, report func(ok, probed bool)))
}

// FleetCommand is a command to the fleet that an operator gives on the command line, with its arguments. The comment of an argument
// that only one command has names this command: "for roll begin" stands for Name roll with RollingRestartCommand begin.
type FleetCommand struct {
	// Name is the command: status (print the council's state), leases (print who holds each lease), budgets (print how the
	// budgets are divided among the brokers), replace (replace one member of the council) or roll (control a rolling restart).
	Name string
	// JSON says whether the result is printed as JSON instead of tables.
	JSON bool
	// FirstLease is, for leases, the first name that may be printed: leases are printed in the order of their names, from
	// FirstLease on. If it is empty, all are printed.
	FirstLease string
	// MaxLeases is, for leases, the largest number of leases that are printed.
	MaxLeases int
	// ReplacedBroker is, for replace, the name of the broker that leaves the council.
	ReplacedBroker string
	// ReplacementBroker is, for replace, the name of the broker that takes the place of ReplacedBroker in the council.
	ReplacementBroker string
	// RollingRestartCommand is, for roll, what to do with a rolling restart: status (print its state), begin (start one), stop
	// (let no further broker begin its turn), on (continue after a stop), back (repeat it, in reverse order, at the brokers whose
	// turn is complete, after the operator has put their former files in place), skip (leave one broker out) or end (end it:
	// brokers that have not had their turn stay as they are).
	RollingRestartCommand string
	// BrokerAction is, for roll begin, what each broker does when it is its turn: restart (drain, end, and be started again by
	// its supervisor) or switch (read its settings again).
	BrokerAction string
	// MaxConcurrent is, for roll begin, how many brokers may be unavailable at a time.
	MaxConcurrent int
	// MinSuccessShare is, for roll begin, the share of searches that must succeed, from 0 to 1: the rolling restart stops if
	// fewer do.
	MinSuccessShare float64
	// BrokerTimeout is, for roll begin, the longest time that a broker's turn may take until the broker is ready for searches
	// again, and that a broker may be unavailable for other reasons; if it takes longer, the rolling restart stops.
	BrokerTimeout time.Duration
	// Brokers is, for roll begin, the names of the brokers to restart (none: all of them), and for roll skip the one to leave
	// out.
	Brokers []string
}

// NodeBackend is a backend for nodes of one protocol, whose connections count against the process's limit on file
// descriptors.
type NodeBackend interface {
	routing.NodeBackend
	clients.ConnectionPool
	// SetCloseUnused sets the function that the backend calls if no file descriptor is free: it closes up to most unused
	// connections of the whole process, and returns how many it closed.
	SetCloseUnused(closeUnused func(most int) int)
	// Close closes all connections.
	Close()
	// LogCounters logs the counts of the backend.
	LogCounters(log *logrus.Logger)
}

// Frontend accepts the connections of clients that speak one protocol, and answers their searches.
type Frontend interface {
	// Addr returns the address at which it listens.
	Addr() string
	// OpenConnections returns the number of open connections.
	OpenConnections() int
	// Serve serves clients until Drain ends the service; it then returns nil, and an error for any other end.
	Serve() error
	// Drain ends the service: it accepts new connections for the duration accept, and returns once every request in flight
	// has its final answer. Requests that are unfinished when ctx ends get a final answer that leaves open whether they ran.
	Drain(ctx context.Context, accept time.Duration)
	// LogCounters logs the counts of the frontend.
	LogCounters(log *logrus.Logger)
}
