// Package options reads the operator's options file: what a site may choose beyond the deployment's own settings. The
// file is JSON with comments. Environment variables override it, and the command line overrides both. The options are
// taken as a whole or not at all, and all errors are reported together.
//
// Terms of this package:
//   - A zone is a data centre. Failover moves searches away from a zone that has failed, and returns them gradually.
//   - A fleet is the brokers that work together under a council: a few brokers that keep the fleet's records by Raft.
//   - A lease is a right that the council grants to one broker, or a few, for a limited time.
//   - A budget is a limit for all brokers together, such as a customer's quota, that the fleet divides among the brokers.
//   - A rolling restart makes the brokers restart, or read their settings again, a few at a time.
//   - The supervisor is the program that starts the broker and may start it again.
package options

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"brackenfront/zones"
)

// Options are the choices of an operator for one site. With the zero values of Flight, Zones and Fleet, the broker does
// without Arrow Flight, failover between zones and a fleet of brokers.
type Options struct {
	// Flight holds the options of Arrow Flight, for clients and for nodes.
	Flight struct {
		Listen         string // address that the frontend for clients listens at; empty for none
		NodeBackends   bool   // whether the broker calls nodes over Flight that the node list says speak it
		AnswerMemoryMB int    // limit on the memory of all answers from Flight nodes that are unfinished or not yet sent to clients, in MB; an attempt whose answer exceeds it fails
		MaxPartMB      int    // limit on the size of the Arrow messages that a node returns for one part, in MB; an attempt whose answer exceeds it fails
		MaxStreams     int    // limit on concurrent calls (HTTP/2 streams) on one connection of a Flight client
		MaxConnections int    // limit on concurrent connections of Flight clients; further ones are closed as soon as they are accepted
	}
	// Zones holds the options of failover between zones.
	Zones struct {
		Failover        bool               // whether the broker detects that a whole zone has failed, limits the load that moves to other zones, and returns it gradually
		Order           []string           // which zones the brokers of each zone prefer, in the form that zones.ParsePreferences reads
		MaxSpillPercent int                // load that the zones may take beyond what they carried when healthy, in percent of all load
		RetryDelayMS    int                // first delay from when a zone counts as failed until searches are tried in it again, in milliseconds
		MaxRetryDelayMS int                // longest such delay, which grows with each failure, in milliseconds
		LossForgetMS    int                // time for which a zone must stay healthy until one earlier failure no longer lengthens that delay, in milliseconds
		ParsedOrder     *zones.Preferences // result of parsing Order; Read sets it
	}
	// Fleet holds the options of the fleet of brokers.
	Fleet struct {
		BrokerName         string          // name of this broker in the fleet; empty if it is in no fleet
		CouncilEntries     []string        // members of the council, each as NAME=ADDRESS; empty turns the fleet off
		Listen             string          // address at which this broker listens for the other brokers of the fleet; empty if it does not listen
		KeyFile            string          // path of the file with the one or two keys by which brokers authenticate each other
		CouncilDir         string          // directory of a council member's storage
		FoundingNumber     int             // number of this council among those that these brokers have founded, from 1; one higher each time one is founded after all its storage was lost
		LeaseTTLMS         int             // time that a lease lasts without renewal, in milliseconds
		ClockDriftPermille int             // largest difference of the rate of a broker's clock from true time, in thousandths, for which the times of leases allow
		TickMS             int             // tick of the council's elections, in milliseconds: a tenth of the shortest time until a leader is replaced
		ReportFile         string          // path of the file to which this broker writes the report on the whole fleet; empty for none
		ReportIntervalS    int             // time between two reports, in seconds
		RollingRestart     bool            // whether this broker takes its turn in rolling restarts, and as a council member leads them
		ShareBudgets       bool            // whether the fleet divides budgets, such as quotas, which are stated for all brokers together, among those that are running
		MaxBrokers         int             // largest number of brokers in the fleet that is expected; a guaranteed share of every budget is set aside for each of so many
		BudgetFloorPercent int             // share of each budget that is guaranteed to the MaxBrokers brokers in equal parts, in percent
		MaxNodeConnections int             // limit on the connections that one node has from all brokers together; 0 for no limit
		SharedHealthProbes bool            // whether one broker of a zone probes unavailable nodes for all brokers of that zone
		Supervised         bool            // whether the supervisor that started this broker starts it again after it ends
		CouncilMembers     []CouncilMember // result of parsing CouncilEntries; empty turns the fleet off
	}
	// Drain holds the options of the drain, the orderly end of the program.
	Drain struct {
		// DeadlineMS is the longest time that searches in flight have, once no new requests are accepted any more, until they
		// get their final answer, in milliseconds; then they get one that leaves open whether they ran.
		DeadlineMS int
	}
	// Log holds the options of the log.
	Log struct {
		Level  string // error, warning, info or debug
		Format string // text or json
	}

	// from maps the name of each option that is not at its default to the source of its value: "file", "environment" or
	// "command line".
	from map[string]string
}

// CouncilMember is one member of the fleet's council: the few brokers that store and grant the fleet's leases.
type CouncilMember struct {
	Broker string // name of the broker
	Addr   string // address that it listens at for the fleet
}

// Read returns the options: defaults, which the content of the options file (empty for no file) overrides, then environment
// variables, which env looks up, and then pairs, the FIELD=VALUE arguments of the command line. Its error joins all errors
// found.
func Read(content []byte, env func(string) string, pairs []string) (*Options, error) {
	o := withDefaults()
	var faults []error
	// set sets the option with the given name to a value that comes from the given source, or adds an error to faults.
	set := func(name string, value any, from string) {
		i := slices.IndexFunc(fields, func(candidate field) bool { return candidate.name == name })
		if i < 0 {
			faults = append(faults, fmt.Errorf("%s: field %s: unknown; expected one of %s", from, name, fieldNames()))
		} else if !fields[i].set(o, value) {
			faults = append(faults, fmt.Errorf("%s: field %s: got %s, expected %s", from, name, display(value), fields[i].expected))
		} else {
			o.from[name] = from
		}
	}
	if len(bytes.TrimSpace(content)) > 0 {
		standard, err := hujson.Standardize(content)
		if err == nil {
			err = walkObject(standard, func(name string, value any) { set(name, value, "file") },
				func(name string) { faults = append(faults, fmt.Errorf("file: field %s: given twice", name)) })
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("file: %w", err))
		}
	}
	for _, option := range fields {
		variable := "BRACKENFRONT_" + strings.ToUpper(strings.ReplaceAll(option.name, ".", "_"))
		if value := env(variable); value != "" {
			set(option.name, value, "environment")
		}
	}
	for _, pair := range pairs {
		if name, value, ok := strings.Cut(pair, "="); ok {
			set(name, value, "command line")
		} else {
			faults = append(faults, fmt.Errorf("command line: got %q, expected FIELD=VALUE", pair))
		}
	}
	if o.Flight.MaxPartMB > o.Flight.AnswerMemoryMB {
		faults = append(faults, fmt.Errorf("field flight.part_mb: got %d, expected no more than flight.held_mb, %d",
			o.Flight.MaxPartMB, o.Flight.AnswerMemoryMB))
	}
	if o.Zones.RetryDelayMS > o.Zones.MaxRetryDelayMS {
		faults = append(faults, fmt.Errorf("field halls.wait_ms: got %d, expected no more than halls.longest_ms, %d",
			o.Zones.RetryDelayMS, o.Zones.MaxRetryDelayMS))
	}
	var err error
	if o.Zones.ParsedOrder, err = zones.ParsePreferences(o.Zones.Order); err != nil {
		faults = append(faults, fmt.Errorf("field halls.order: %w", err))
	}
	faults = append(faults, o.parseFleet()...)
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return o, nil
}

// withDefaults returns options in which every field has its default value.
func withDefaults() *Options {
	o := &Options{from: map[string]string{}}
	o.Flight.AnswerMemoryMB = 32
	o.Flight.MaxPartMB = 16
	o.Flight.MaxStreams = 64
	o.Flight.MaxConnections = 64
	o.Zones.MaxSpillPercent = 80
	o.Zones.RetryDelayMS = 2000
	o.Zones.MaxRetryDelayMS = 60_000
	o.Zones.LossForgetMS = 60_000
	o.Fleet.FoundingNumber = 1
	o.Fleet.LeaseTTLMS = 10_000
	o.Fleet.ClockDriftPermille = 10
	o.Fleet.TickMS = 100
	o.Fleet.ReportIntervalS = 60
	o.Fleet.BudgetFloorPercent = 10
	o.Drain.DeadlineMS = 3000
	o.Log.Level = "info"
	o.Log.Format = "text"
	return o
}

// Describe returns a line for each option, in the form "NAME = VALUE (SOURCE)"; the source is default, file, environment or
// command line.
func (o *Options) Describe() (lines []string) {
	for _, option := range fields {
		from := o.from[option.name]
		if from == "" {
			from = "default"
		}
		lines = append(lines, fmt.Sprintf("%s = %s (%s)", option.name, display(option.get(o)), from))
	}
	return lines
}

// FieldsNeedingRestart returns the names of the options that have another value in newer and that only a restart can change.
func (o *Options) FieldsNeedingRestart(newer *Options) (names []string) {
	for _, option := range fields {
		if !option.reloadable && option.get(o) != option.get(newer) {
			names = append(names, option.name)
		}
	}
	return names
}
