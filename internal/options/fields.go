package options

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
)

// field describes one option: its name, its allowed values, and how its value in Options is set and read. The function set is
// given a decoded JSON value from the options file, or a text from the environment or the command line.
type field struct {
	name       string                           // name of the option in the options file, such as "flight.listen"
	expected   string                           // description of the allowed values, for error messages
	reloadable bool                             // whether a reload on SIGHUP can change the option; otherwise only a restart does
	set        func(o *Options, value any) bool // sets the option; false if the value is not allowed
	get        func(o *Options) any             // returns the option's value, in a comparable type
}

// fields are all options, in the order in which Describe lists them.
var fields = []field{
	textField("flight.listen", "an address like 127.0.0.1:5100, or \"\" for none", false,
		func(o *Options) *string { return &o.Flight.Listen }, isAddressOrEmpty),
	boolField("flight.leaves", func(o *Options) *bool { return &o.Flight.NodeBackends }),
	numberField("flight.held_mb", 1, 1<<20, func(o *Options) *int { return &o.Flight.AnswerMemoryMB }),
	numberField("flight.part_mb", 1, 1<<11-1, func(o *Options) *int { return &o.Flight.MaxPartMB }),
	numberField("flight.streams", 1, 1<<16, func(o *Options) *int { return &o.Flight.MaxStreams }),
	numberField("flight.conns", 1, 1<<16, func(o *Options) *int { return &o.Flight.MaxConnections }),
	boolField("halls.guard", func(o *Options) *bool { return &o.Zones.Failover }),
	{"halls.order", `lines like "east: east > north = south", one for each zone of brokers`, false,
		func(o *Options, value any) (ok bool) { o.Zones.Order, ok = parseList(value); return ok },
		func(o *Options) any { return strings.Join(o.Zones.Order, "; ") }},
	numberField("halls.spill_percent", 0, 1000, func(o *Options) *int { return &o.Zones.MaxSpillPercent }),
	numberField("halls.wait_ms", 10, 3_600_000, func(o *Options) *int { return &o.Zones.RetryDelayMS }),
	numberField("halls.longest_ms", 10, 3_600_000, func(o *Options) *int { return &o.Zones.MaxRetryDelayMS }),
	numberField("halls.forget_ms", 10, 86_400_000, func(o *Options) *int { return &o.Zones.LossForgetMS }),
	textField("fleet.broker", "a name of up to 64 letters, digits, dots and dashes, or \"\" for none", false,
		func(o *Options) *string { return &o.Fleet.BrokerName }, func(s string) bool { return s == "" || isBrokerName(s) }),
	{"fleet.council", `none, or 3, 5 or 7 texts like "b1=127.0.0.1:5200"`, false,
		func(o *Options, value any) (ok bool) { o.Fleet.CouncilEntries, ok = parseList(value); return ok },
		func(o *Options) any { return strings.Join(o.Fleet.CouncilEntries, "; ") }},
	textField("fleet.listen", "an address like 127.0.0.1:5200, or \"\" for none", false,
		func(o *Options) *string { return &o.Fleet.Listen }, isAddressOrEmpty),
	textField("fleet.keys", "the name of a file", false, func(o *Options) *string { return &o.Fleet.KeyFile }, isPathLength),
	textField("fleet.dir", "the name of a folder", false, func(o *Options) *string { return &o.Fleet.CouncilDir }, isPathLength),
	textField("fleet.report", "the name of a file, or \"\" for none", false, func(o *Options) *string { return &o.Fleet.ReportFile }, isPathLength),
	numberField("fleet.report_s", 1, 86_400, func(o *Options) *int { return &o.Fleet.ReportIntervalS }),
	boolField("fleet.roll", func(o *Options) *bool { return &o.Fleet.RollingRestart }),
	boolField("fleet.budgets", func(o *Options) *bool { return &o.Fleet.ShareBudgets }),
	numberField("fleet.brokers", 0, 1<<16, func(o *Options) *int { return &o.Fleet.MaxBrokers }),
	numberField("fleet.floor_percent", 1, 100, func(o *Options) *int { return &o.Fleet.BudgetFloorPercent }),
	numberField("fleet.node_conns", 0, 1<<20, func(o *Options) *int { return &o.Fleet.MaxNodeConnections }),
	boolField("fleet.trials", func(o *Options) *bool { return &o.Fleet.SharedHealthProbes }),
	boolField("fleet.restarts", func(o *Options) *bool { return &o.Fleet.Supervised }),
	numberField("fleet.founding", 1, 1<<20, func(o *Options) *int { return &o.Fleet.FoundingNumber }),
	numberField("fleet.ttl_ms", 400, 3_600_000, func(o *Options) *int { return &o.Fleet.LeaseTTLMS }),
	numberField("fleet.drift_permille", 1, 200, func(o *Options) *int { return &o.Fleet.ClockDriftPermille }),
	numberField("fleet.tick_ms", 10, 60_000, func(o *Options) *int { return &o.Fleet.TickMS }),
	numberField("drain.deadline_ms", 100, 3_600_000, func(o *Options) *int { return &o.Drain.DeadlineMS }),
	textField("log.level", "error, warning, info or debug", true, func(o *Options) *string { return &o.Log.Level },
		func(s string) bool { return slices.Contains([]string{"error", "warning", "info", "debug"}, s) }),
	textField("log.format", "text or json", true, func(o *Options) *string { return &o.Log.Format },
		func(s string) bool { return s == "text" || s == "json" }),
}

const (
	// maxPathBytes is the maximum length of the name of a file or directory, in bytes.
	maxPathBytes = 4096
	// maxBrokerNameBytes is the maximum length of a broker's name, in bytes.
	maxBrokerNameBytes = 64
)

// isAddressOrEmpty reports whether a text is empty or has the form HOST:PORT with a port from 0 to 65535.
func isAddressOrEmpty(s string) bool {
	if s == "" {
		return true
	}
	_, port, err := net.SplitHostPort(s)
	number, numberErr := strconv.Atoi(port)
	return err == nil && numberErr == nil && number >= 0 && number < 1<<16
}

// isPathLength reports whether a text is at most maxPathBytes long, so that it can be the name of a file or directory.
func isPathLength(s string) bool { return len(s) <= maxPathBytes }

// isBrokerName reports whether a text can be a broker's name: letters, digits, dots and dashes, of which there are 1 to
// maxBrokerNameBytes.
func isBrokerName(s string) bool {
	ok := s != "" && len(s) <= maxBrokerNameBytes
	for _, r := range s {
		ok = ok && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-')
	}
	return ok
}

// textField describes an option whose value is a text. fits reports whether a text is allowed; at returns a pointer to the
// option's value in Options.
func textField(name, expected string, reloadable bool, at func(*Options) *string, fits func(string) bool) field {
	return field{name, expected, reloadable, func(o *Options, value any) bool {
		text, ok := value.(string)
		if ok = ok && fits(text); ok {
			*at(o) = text
		}
		return ok
	}, func(o *Options) any { return *at(o) }}
}

// numberField describes an option whose value is a whole number from least to most. at returns a pointer to the option's
// value in Options.
func numberField(name string, least, most int, at func(*Options) *int) field {
	return field{name, fmt.Sprintf("a whole number from %d to %d", least, most), false, func(o *Options, value any) bool {
		var number int
		var err error
		switch value := value.(type) {
		case json.Number:
			number, err = strconv.Atoi(value.String())
		case string:
			// The environment and the command line give text.
			number, err = strconv.Atoi(value)
		default:
			return false
		}
		if err != nil || number < least || number > most {
			return false
		}
		*at(o) = number
		return true
	}, func(o *Options) any { return *at(o) }}
}

// boolField describes an option that is true or false. at returns a pointer to the option's value in Options.
func boolField(name string, at func(*Options) *bool) field {
	return field{name, "true or false", false, func(o *Options, value any) (ok bool) { *at(o), ok = parseBool(value); return ok },
		func(o *Options) any { return *at(o) }}
}

// parseList reads a JSON array of texts or, from the environment and the command line, one text in which semicolons separate
// the elements; ok is false for anything else.
func parseList(value any) (texts []string, ok bool) {
	switch value := value.(type) {
	case string:
		for text := range strings.SplitSeq(value, ";") {
			if text = strings.TrimSpace(text); text != "" {
				texts = append(texts, text)
			}
		}
		return texts, true
	case []any:
		for _, element := range value {
			text, ok := element.(string)
			if !ok {
				return nil, false
			}
			texts = append(texts, text)
		}
		return texts, true
	}
	return nil, false
}

// parseBool reads a boolean from raw, a decoded JSON value or a text: true, false, or the text "true" or "false". ok is false
// for anything else.
func parseBool(raw any) (value, ok bool) {
	switch raw {
	case true, "true":
		return true, true
	case false, "false":
		return false, true
	}
	return false, false
}

// fieldNames returns the names of all options, separated by commas, for error messages.
func fieldNames() string {
	var names []string
	for _, option := range fields {
		names = append(names, option.name)
	}
	return strings.Join(names, ", ")
}

// display formats a value as JSON for messages, cut off after 60 characters.
func display(value any) string {
	encoded, _ := json.Marshal(value)
	return fmt.Sprintf("%.60s", encoded)
}
