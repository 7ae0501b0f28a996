// Package protocol converts between bytes and values: the configuration, the updates of discovery, searches and their
// answers, and the frames exchanged with nodes. It opens no connections and makes no routing decisions.
//
// Terms of this package:
//   - A Deployment is the parsed form of the settings, which name the classes of searches, the dealers, the layout of shards
//     and the limits. A reload or a restart puts other settings in force.
//   - A class is a kind of searches that the settings treat alike; a search names its class in the path of its request.
//   - The nodes of one replica group hold the same shards. The layout says which groups hold which shards.
//   - A dealer is a customer with a quota, which is a number of searches per second.
//   - Discovery is the service that sends the list of nodes, complete or as updates with the changed entries.
//   - The frame protocol is one of two protocols for calls to nodes; the other is Arrow Flight. A frame is one message of it.
//   - A probe asks a node whether it works.
//   - The effect of a class says what it does to run a part twice: no harm, no harm while nodes recognize the repeat by its
//     key (an idempotency-keyed class), or harm.
//   - The repeat window is how long nodes recognize and drop the repeat of a part of an idempotency-keyed class.
//   - The weight of a part is its share, from 0 to 1, of the complete answer; an answer is complete if the weights of the
//     parts with values add up to what the class needs.
//   - The utility of a search is what its answer is worth, in a unit that all classes share.
//   - A step is a set of parts that are answered together. Searches of some classes have a second step, which asks the
//     shards with the best scores in the first step again.
//   - The latency target of a class is the time from the arrival of a search after which its answer has less utility.
//   - The framing of a request is what determines where the request ends on its connection; its head is the request line
//     and the header. The HTTP library is Go's package net/http.
//   - Load shedding is the rejection of searches because of overload.
package protocol

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
)

// Config is the parsed form of the configuration file that a broker reads at its start and again on a reload.
type Config struct {
	// Name is the name of this broker.
	Name string
	// ListenAddress is the host and port at which the broker listens for HTTP clients.
	ListenAddress string
	// DiscoveryAddress is the host and port of the discovery service.
	DiscoveryAddress string
	// Cores is the number of processor cores that the broker may use.
	Cores float64
	// MemoryBytes is the memory that the broker may use, in bytes.
	MemoryBytes int64
	// MaxSockets is the maximum number of sockets that the broker may have open.
	MaxSockets int
	// InitialNodes is the list of nodes that the broker uses until discovery sends its own.
	InitialNodes DiscoveryUpdate
	// Deployment holds the settings of the deployment.
	*Deployment
}

// configJSON is the JSON form of the configuration file.
type configJSON struct {
	// Name is the name of this broker.
	Name string
	// Listen is the host and port at which the broker listens for HTTP clients.
	Listen string
	// Discovery is the host and port of the discovery service.
	Discovery string
	// Seed initializes the random choices of the broker; a hexadecimal number of at most 64 bits.
	Seed string
	// Limits are the resources that the broker may use.
	Limits *limitsJSON
	// Known is the list of nodes that the broker uses until discovery sends its own, in the form of discoveryUpdateJSON.
	Known json.RawMessage
	// Settings are the settings of the deployment; see settingsJSON.
	Settings json.RawMessage
}

// limitsJSON is the JSON form of the resources that a broker may use.
type limitsJSON struct {
	// Cores is the number of processor cores that the broker may use.
	Cores float64
	// MemoryMB is the memory that the broker may use, in MiB (2^20 bytes).
	MemoryMB float64 `json:"memory_mb"`
	// Sockets is the maximum number of sockets that the broker may have open.
	Sockets int
}

// ParseConfig reads the configuration from JSON and validates it. The fields name, listen and discovery may be missing or
// empty: fallback is then called with the name of the field and returns its value, or "" if there is none, which is an
// error. The error names the missing or invalid field.
func ParseConfig(raw []byte, fallback func(field string) string) (*Config, error) {
	var parsed configJSON
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for field, value := range map[string]*string{"name": &parsed.Name, "listen": &parsed.Listen, "discovery": &parsed.Discovery} {
		if *value == "" {
			*value = fallback(field)
		}
	}
	// missing and wrong return the error for a field that is missing, or whose value is not valid.
	missing := func(field string) error { return fmt.Errorf("configuration: field %s: missing", field) }
	wrong := func(field string, err error) error { return fmt.Errorf("configuration: field %s: %w", field, err) }
	switch {
	case parsed.Name == "":
		return nil, missing("name")
	case parsed.Listen == "":
		return nil, missing("listen")
	case parsed.Discovery == "":
		return nil, missing("discovery")
	case parsed.Limits == nil:
		return nil, missing("limits")
	case parsed.Limits.Cores <= 0 || parsed.Limits.MemoryMB <= 0 || parsed.Limits.Sockets <= 0:
		return nil, wrong("limits", fmt.Errorf("cores, memory_mb and sockets must be above 0"))
	case len(parsed.Known) == 0:
		return nil, missing("known")
	case len(parsed.Settings) == 0:
		return nil, missing("settings")
	}
	seed, err := strconv.ParseUint(parsed.Seed, 16, 64)
	if err != nil {
		return nil, wrong("seed", fmt.Errorf("expected up to 16 hex digits, got %q", parsed.Seed))
	}
	config := &Config{
		Name:             parsed.Name,
		ListenAddress:    parsed.Listen,
		DiscoveryAddress: parsed.Discovery,
		Cores:            parsed.Limits.Cores,
		MemoryBytes:      int64(parsed.Limits.MemoryMB * (1 << 20)),
		MaxSockets:       parsed.Limits.Sockets,
	}
	if config.InitialNodes, err = ParseDiscoveryUpdate(parsed.Known); err != nil {
		return nil, wrong("known", err)
	}
	if config.Deployment, err = ParseSettings(parsed.Settings, seed); err == nil {
		err = config.validateLimits()
	}
	// Settings that the balance package rejects are reported when the file is read, not only when they are applied.
	if err == nil {
		err = config.Settings.Validate()
	}
	if err != nil {
		return nil, wrong("settings", err)
	}
	return config, nil
}

// ChangesNeedingRestart returns the names of the fields and settings that differ in a newer configuration and that only take
// effect after a restart. It ignores the seed, which is new in each file, and the list of nodes, which discovery updates.
func (c *Config) ChangesNeedingRestart(newer *Config) (fields []string) {
	for _, field := range []struct {
		// name is the field's name in the file, and same says whether both configurations have the same value of it.
		name string
		same bool
	}{
		{"name", c.Name == newer.Name},
		{"listen", c.ListenAddress == newer.ListenAddress},
		{"limits.sockets", c.MaxSockets == newer.MaxSockets},
	} {
		if !field.same {
			fields = append(fields, field.name)
		}
	}
	return append(fields, c.SettingsNeedingRestart(newer.Deployment)...)
}

// SettingsNeedingRestart returns the names of the settings that differ in a newer deployment and that only take effect after
// a restart.
func (d *Deployment) SettingsNeedingRestart(newer *Deployment) (fields []string) {
	before := &d.Settings
	after := &newer.Settings
	for _, field := range []struct {
		// name is the setting's name in the file, and same says whether both deployments have the same value of it.
		name string
		same bool
	}{
		{"settings.tick", before.Tick == after.Tick},
		{"settings.myZone", d.LocalZone == newer.LocalZone},
		{"settings.discovery", before.NodeListOnRequest == after.NodeListOnRequest},
		{"settings.rules.cold and coldFrom (with halls.guard)",
			before.ZoneGuard == nil || before.WarmupTime == after.WarmupTime && before.WarmupStartShare == after.WarmupStartShare},
		{"settings.policyLimits.mayProbe (with halls.guard)", before.ZoneGuard == nil || before.CanProbe == after.CanProbe},
	} {
		if !field.same {
			fields = append(fields, field.name)
		}
	}
	return fields
}

// SameLayout reports whether another deployment has the same numbers of shards and replica groups, so that each group holds
// the same shards.
func (d *Deployment) SameLayout(other *Deployment) bool {
	return d.Settings.Groups == other.Settings.Groups && d.Settings.GroupsPerShard == other.Settings.GroupsPerShard &&
		d.Settings.Shards == other.Settings.Shards
}

// SameConnectionLimits reports whether another deployment sets the same limits for connections to nodes and the calls on
// them.
func (d *Deployment) SameConnectionLimits(other *Deployment) bool {
	return d.MaxCallsPerConn == other.MaxCallsPerConn && d.DialTimeout == other.DialTimeout && d.IdleTimeout == other.IdleTimeout &&
		d.MaxDeadline == other.MaxDeadline && d.Settings.CanCancel == other.Settings.CanCancel
}

// SameSettings reports whether another deployment has the same settings. It ignores the seed, and the configuration of
// failover between zones, as these are not part of the JSON settings.
func (d *Deployment) SameSettings(newer *Deployment) bool {
	before := *d
	after := *newer
	after.Settings.Seed = before.Settings.Seed
	after.Settings.ZoneGuard = before.Settings.ZoneGuard
	after.ZoneOrder = before.ZoneOrder
	return reflect.DeepEqual(before, after)
}
