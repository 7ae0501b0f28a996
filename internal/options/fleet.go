package options

import (
	"fmt"
	"slices"
	"strings"
)

// minTicksPerTTL is the smallest allowed ratio of the duration of a lease (fleet.ttl_ms) to the tick of the council's Raft
// timer (fleet.tick_ms). The council replaces a failed leader within some twenty ticks, which have to be much shorter than a
// lease.
const minTicksPerTTL = 40

// reportFleetFault adds an error about an option of the fleet to the errors that parseFleet returns. field is the option's name
// without "fleet."; format and args are those of fmt.Errorf.
type reportFleetFault func(field, format string, args ...any)

// parseFleet parses the members of the council from CouncilEntries into CouncilMembers, and returns an error for each
// invalid entry and each conflict between the options of the fleet.
func (o *Options) parseFleet() (faults []error) {
	fleet := &o.Fleet
	report := func(field, format string, args ...any) {
		faults = append(faults, fmt.Errorf("field fleet."+field+": "+format, args...))
	}
	if fleet.TickMS*minTicksPerTTL > fleet.LeaseTTLMS {
		report("tick_ms", "got %d, expected no more than a %dth of fleet.ttl_ms, %d: a leader has to be replaced well within a lease",
			fleet.TickMS, minTicksPerTTL, fleet.LeaseTTLMS)
	}
	o.parseCouncilEntries(report)
	if len(fleet.CouncilEntries) == 0 {
		o.checkWithoutCouncil(report)
	} else {
		o.checkWithCouncil(report)
	}
	return faults
}

// parseCouncilEntries parses CouncilEntries into CouncilMembers, and reports each entry that is invalid or has the name or
// address of an earlier one.
func (o *Options) parseCouncilEntries(report reportFleetFault) {
	fleet := &o.Fleet
	for _, entry := range fleet.CouncilEntries {
		name, addr, ok := strings.Cut(entry, "=")
		name, addr = strings.TrimSpace(name), strings.TrimSpace(addr)
		switch {
		case !ok || !isBrokerName(name) || addr == "" || !isAddressOrEmpty(addr):
			report("council", "got %q, expected a text like \"b1=127.0.0.1:5200\"", entry)
		case slices.ContainsFunc(fleet.CouncilMembers, func(member CouncilMember) bool { return member.Broker == name }):
			report("council", "%s is listed twice", name)
		case slices.ContainsFunc(fleet.CouncilMembers, func(member CouncilMember) bool { return member.Addr == addr }):
			report("council", "%s is listed twice", addr)
		default:
			fleet.CouncilMembers = append(fleet.CouncilMembers, CouncilMember{name, addr})
		}
	}
}

// checkWithoutCouncil reports the options that need a council, for options that name none.
func (o *Options) checkWithoutCouncil(report reportFleetFault) {
	fleet := &o.Fleet
	if fleet.BrokerName != "" {
		report("council", "got none, expected 3, 5 or 7 brokers as fleet.broker is %q", fleet.BrokerName)
	}
	if fleet.ReportFile != "" {
		report("council", "got none, expected 3, 5 or 7 brokers as fleet.report is %q", fleet.ReportFile)
	}
	if fleet.RollingRestart || fleet.SharedHealthProbes || fleet.ShareBudgets {
		report("council", "got none, expected 3, 5 or 7 brokers as fleet.roll, fleet.trials or fleet.budgets is true")
	}
}

// checkWithCouncil reports the conflicts between the options of a fleet, for options that name a council.
func (o *Options) checkWithCouncil(report reportFleetFault) {
	fleet := &o.Fleet
	if n := len(fleet.CouncilEntries); n != 3 && n != 5 && n != 7 {
		report("council", "got %d brokers, expected 3, 5 or 7: an even number tolerates no more failures than one less", n)
	}
	if fleet.BrokerName == "" {
		report("broker", "got none, expected this broker's name, as fleet.council is given")
	}
	if fleet.ShareBudgets && fleet.MaxBrokers < len(fleet.CouncilEntries) {
		report("brokers", "got %d, expected the largest number of brokers, as fleet.budgets is true", fleet.MaxBrokers)
	}
	if fleet.MaxNodeConnections > 0 && (!fleet.ShareBudgets || fleet.MaxNodeConnections < 2*fleet.MaxBrokers) {
		report("node_conns", "got %d, expected 0, or with fleet.budgets at least two for each of fleet.brokers, %d: one that it may have for good, one that it may be dialling",
			fleet.MaxNodeConnections, fleet.MaxBrokers)
	}
	if fleet.SharedHealthProbes && o.Zones.Failover {
		report("trials", "got true, expected false with halls.guard: another broker's probe of a node would count as this broker's own knowledge of its zone")
	}
	if fleet.Supervised && !fleet.RollingRestart {
		report("roll", "got false, expected true as fleet.restarts is true")
	}
	if fleet.RollingRestart && fleet.Listen == "" {
		report("listen", "got none, expected an address as fleet.roll is true: this broker has to be told when it is to restart")
	}
	if fleet.KeyFile == "" {
		report("keys", "got none, expected a file, as fleet.council is given")
	}
	if slices.ContainsFunc(fleet.CouncilMembers, func(member CouncilMember) bool { return member.Broker == fleet.BrokerName }) {
		if fleet.Listen == "" {
			report("listen", "got none, expected an address, as %s is a member of the council", fleet.BrokerName)
		}
		if fleet.CouncilDir == "" {
			report("dir", "got none, expected a folder, as %s is a member of the council", fleet.BrokerName)
		}
	}
}
