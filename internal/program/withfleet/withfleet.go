// Package withfleet supports fleets of brokers in the builds that have it: it makes a process a member of a fleet, and runs
// the operator's commands to one.
//
// Terms of this package:
//   - The council is the few brokers that keep the fleet's records by Raft; one of them is its leader.
//   - A lease is a right that the council grants to one broker, or a few, for a limited time.
//   - A budget is a limit for all brokers together, such as a dealer's quota. A broker's floor is the amount of it that it
//     is guaranteed; its share is what the council gives it by demand, until a time at which the share expires.
//   - The allowance is what this broker may use of all budgets, in the form that package balance takes.
//   - A cold node has just started and has only part of its capacity yet.
//   - In its turn of a rolling restart, a broker restarts or reads its settings again.
package withfleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/wire"
	"brackenfront/internal/options"
	"brackenfront/internal/program"
	"brackenfront/internal/protocol"
	"brackenfront/lease"
)

// NewSupport returns the functions by which a program checks the options of a fleet, joins it, and runs an operator's
// commands to it.
func NewSupport() *program.FleetSupport {
	return &program.FleetSupport{CheckOptions: checkOptions, Join: func(operatorOptions *options.Options, config *protocol.Config, broker program.LocalBroker, log *logrus.Logger) (program.FleetMember, error) {
		settings := nodeSettings(operatorOptions)
		settings.Local = fleet.LocalBroker(broker)
		settings.Zone = config.LocalZone
		node, err := fleet.Start(settings, fleet.RealEnvironment(), log)
		if err != nil {
			return nil, err
		}
		return &member{Node: node, operatorOptions: operatorOptions}, nil
	}, RunCommand: runCommand}
}

// nodeSettings converts the operator's options into the settings of fleet.Node, which is this broker as a member of its
// fleet. It is not in package options, as a program without the fleet does not link the fleet's libraries.
func nodeSettings(operatorOptions *options.Options) fleet.Config {
	fleetOptions := &operatorOptions.Fleet
	leaseConfig := lease.DefaultConfig()
	leaseConfig.TTL = float64(fleetOptions.LeaseTTLMS) / 1e3
	leaseConfig.MaxClockDrift = float64(fleetOptions.ClockDriftPermille) / 1e3
	return fleet.Config{
		Broker:             fleetOptions.BrokerName,
		Listen:             fleetOptions.Listen,
		KeyFile:            fleetOptions.KeyFile,
		CouncilDir:         fleetOptions.CouncilDir,
		Council:            councilMembers(operatorOptions),
		FoundingNumber:     uint32(fleetOptions.FoundingNumber),
		Terms:              leaseConfig,
		Tick:               time.Duration(fleetOptions.TickMS) * time.Millisecond,
		ReportFile:         fleetOptions.ReportFile,
		ReportInterval:     time.Duration(fleetOptions.ReportIntervalS) * time.Second,
		RollingRestarts:    fleetOptions.RollingRestart,
		Restartable:        fleetOptions.Supervised,
		SharedHealthProbes: fleetOptions.SharedHealthProbes,
		SharedBudgets:      fleetOptions.ShareBudgets,
	}
}

// councilMembers converts the council members that the options list, with their addresses, to the type of package fleet.
func councilMembers(operatorOptions *options.Options) (members []fleet.CouncilBroker) {
	for _, entry := range operatorOptions.Fleet.CouncilMembers {
		members = append(members, fleet.CouncilBroker{Broker: entry.Broker, Addr: entry.Addr})
	}
	return members
}

// checkOptions returns an error, with the name of the option, if the key file cannot be read, the lease times are invalid,
// or the folder of the report or of the council's storage cannot be written.
func checkOptions(operatorOptions *options.Options) error {
	if _, err := wire.ReadKeys(operatorOptions.Fleet.KeyFile); err != nil {
		return fmt.Errorf("field fleet.keys: %w", err)
	}
	settings := nodeSettings(operatorOptions)
	if err := settings.Terms.Validate(); err != nil {
		return fmt.Errorf("fields fleet.ttl_ms and fleet.drift_permille: %w", err)
	}
	if settings.ReportFile != "" {
		if err := checkWritable(filepath.Dir(settings.ReportFile)); err != nil {
			return fmt.Errorf("field fleet.report: expected a file in a folder that can be written: %w", err)
		}
	}
	if settings.InCouncil() {
		if err := checkWritable(settings.CouncilDir); err != nil {
			return fmt.Errorf("field fleet.dir: expected a folder that can be written: %w", err)
		}
	}
	return nil
}

// checkWritable returns an error if no file can be created in a folder; it creates one and removes it.
func checkWritable(folder string) error {
	file, err := os.CreateTemp(folder, ".probe")
	if err != nil {
		return err
	}
	return errors.Join(file.Close(), os.Remove(file.Name()))
}
