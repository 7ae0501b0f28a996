package program

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/options"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/nodes"
	"brackenfront/internal/transport/turns"
)

// socketSlack is the time after a limit of the protocol with clients and nodes within which a broker has to act on that limit
// at its sockets. nodeLimits derives from it how long a further attempt of a part may wait until it is written.
const socketSlack = 50 * time.Millisecond

// uncountedMemoryShare is the share of the configured memory, from 0 to 1, that is kept out of the Go runtime's memory limit,
// for memory that the runtime does not count in it.
const uncountedMemoryShare = 0.125

// programMemoryBytes is kept out of that limit as well: the resident pages of the program itself, which count as memory.
const programMemoryBytes = 8 << 20

// minHeapShare is the least share of the configured memory that the Go runtime may use.
const minHeapShare = 0.5

// replayMemoryDivisor limits the memory for records of past searches, by which a request that is delivered again is
// recognised: they may take the configured memory divided by it.
const replayMemoryDivisor = 32

// RequestMemoryDivisor limits the memory for requests that clients of a frontend send: beyond what each connection has to itself,
// they may take the configured memory divided by it.
const RequestMemoryDivisor = 8

// errNoFleet is the error if the options name a fleet and this build of the program lacks the component for fleets
// (FleetSupport).
var errNoFleet = errors.New("options: field fleet.council: expected none, as this program is built without the fleet; brackenflight has it")

// read reads and checks the configuration file and the operator's options. The error joins everything that is wrong with
// them, also options that need a component that features lacks.
func (c *commandLine) read(features OptionalFeatures) (*protocol.Config, *options.Options, error) {
	config, err := readConfiguration()
	operatorOptions, optionsErr := c.readOptions()
	if optionsErr != nil {
		return nil, nil, errors.Join(err, optionsErr)
	}
	if features.Flight == nil && (operatorOptions.Flight.Listen != "" || operatorOptions.Flight.NodeBackends) {
		err = errors.Join(err, errors.New("options: fields flight.listen and flight.leaves: expected \"\" and false, "+
			"as this program is built without Flight; brackenflight has it"))
	}
	if len(operatorOptions.Fleet.CouncilMembers) > 0 {
		if features.Fleet == nil {
			err = errors.Join(err, errNoFleet)
		} else if fleetErr := features.Fleet.CheckOptions(operatorOptions); fleetErr != nil {
			err = errors.Join(err, fmt.Errorf("options: %w", fleetErr))
		}
	}
	if config != nil && err == nil {
		err = applyZoneOptions(config, operatorOptions)
	}
	return config, operatorOptions, err
}

// readOptions reads only the operator's options: the file, the environment, which takes precedence over it, and the command
// line, which takes precedence over both.
func (c *commandLine) readOptions() (*options.Options, error) {
	var file []byte
	if c.Options != "" {
		var err error
		if file, err = os.ReadFile(c.Options); err != nil {
			return nil, fmt.Errorf("options: %w", err)
		}
	}
	operatorOptions, err := options.Read(file, os.Getenv, c.Set)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return operatorOptions, nil
}

// readConfiguration reads the configuration file, whose path is in the environment variable ROUTER_CONFIG. If the file lacks
// the name, the listen address or the discovery address, that is taken from the environment variable ROUTER_NAME,
// ROUTER_LISTEN or ROUTER_DISCOVERY.
func readConfiguration() (*protocol.Config, error) {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("configuration: ROUTER_CONFIG is not set")
	}
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return protocol.ParseConfig(file, func(field string) string { return os.Getenv("ROUTER_" + strings.ToUpper(field)) })
}

// applyZoneOptions copies the operator's options on the failover between zones into the configuration. The options do not say
// which share of its load a zone gets when it returns, and how long it then warms up; both follow from the settings for a
// single node that has just started.
func applyZoneOptions(config *protocol.Config, operatorOptions *options.Options) error {
	knownZones := []string{config.LocalZone}
	for _, node := range config.InitialNodes.Nodes {
		if !slices.Contains(knownZones, node.Zone) {
			knownZones = append(knownZones, node.Zone)
		}
	}
	if err := operatorOptions.Zones.ParsedOrder.Validate(config.LocalZone, knownZones); err != nil {
		return fmt.Errorf("options: field halls.order: %w", err)
	}
	config.ZoneOrder = operatorOptions.Zones.ParsedOrder
	if operatorOptions.Zones.Failover {
		config.Settings.ZoneGuard = config.ZoneGuardConfig(float64(operatorOptions.Zones.MaxSpillPercent)/100, float64(operatorOptions.Zones.RetryDelayMS)/1e3,
			float64(operatorOptions.Zones.MaxRetryDelayMS)/1e3, float64(operatorOptions.Zones.LossForgetMS)/1e3)
	}
	return nil
}

// nodeLimits returns the limits that the settings put on connections to nodes that speak frames. tick is Settings.Tick as a
// duration, the unit of short waits; peerTurns is daemon.peerTurns.
func nodeLimits(config *protocol.Config, tick time.Duration, peerTurns *turns.Scheduler) nodes.Limits {
	return nodes.Limits{
		MaxCallsPerConn:      config.MaxCallsPerConn,
		ConnectTimeout:       config.DialTimeout,
		PeerIdleTimeout:      config.IdleTimeout,
		MaxWait:              config.MaxDeadline,
		MayCancel:            config.Settings.CanCancel,
		DescriptorRetryPause: tick,
		RetryMaxQueueTime:    max(socketSlack-tick, tick),
		Turns:                peerTurns,
	}
}

// applyRuntimeLimits sets the Go runtime's memory limit and number of processors to what the configuration states. It may be
// called again while the program runs.
func applyRuntimeLimits(config *protocol.Config) {
	memory := float64(config.MemoryBytes)
	debug.SetMemoryLimit(int64(max(memory*(1-uncountedMemoryShare)-programMemoryBytes, memory*minHeapShare)))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
}

// applyLogOptions sets the level and the format of the log. It may be called again while the program runs.
func applyLogOptions(log *logrus.Logger, operatorOptions *options.Options) {
	if level, err := logrus.ParseLevel(operatorOptions.Log.Level); err == nil {
		log.SetLevel(level)
	}
	setLogFormat(log, operatorOptions.Log.Format)
}

// setLogFormat makes the log write its lines as JSON for the format "json", and as text for any other.
func setLogFormat(log *logrus.Logger, format string) {
	const timestampFormat = "2006-01-02T15:04:05.000Z07:00"
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
		return
	}
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat})
}
