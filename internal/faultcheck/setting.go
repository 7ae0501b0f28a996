package faultcheck

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// The search classes of every setting, in the order of Setting.classes unless Setting.ClassesReversed is set.
const (
	// ClassWhole is the search class whose answers need every shard.
	ClassWhole = "whole"
	// ClassPartial is the search class whose answers are marked whole with less than all of the shards (see Setting.PartialWholeShare), and
	// that is answered with still fewer (see Setting.PartialMinShare).
	ClassPartial = "partial"
	// ClassTwoStep is the search class whose searches have a second step.
	ClassTwoStep = "twostep"
)

// Values that all settings share. Times are short, so that a scenario ends within seconds.
const (
	// ownZone is the zone of the brokers, and of the first node of each replica group.
	ownZone = "a"
	// otherZone is the zone of the second node of each replica group.
	otherZone = "b"
	// dealerName is the name of the dealer (a customer with a quota) that all searches state.
	dealerName = "acme"
	// socketSlack is the Contract.Slack of all settings, the tolerance that the protocol adds to every time limit on sockets.
	socketSlack = 50 * time.Millisecond
	// dialTimeout is how long brokers wait for a connection to a node to be established.
	dialTimeout = 150 * time.Millisecond
	// drainGrace is the setting rules.drainGrace of brokers: the time from the notification that a node is draining after which nothing new
	// may reach that node.
	drainGrace = 250 * time.Millisecond
	// keepAlive is the setting policyLimits.keepalive of brokers: how long a connection may stay unused before either side closes it.
	keepAlive = 30 * time.Second
	// tickInterval is the setting tick of brokers: the unit of their intervals, such as that between checks for overdue parts.
	tickInterval = 5 * time.Millisecond
	// defaultMemoryMegabytes is the memory that the configuration grants a broker unless a fault changes it.
	defaultMemoryMegabytes = 192
	// maxShards is the maximum number of shards of a setting.
	maxShards = 6
)

// Setting is the configuration of a scenario's brokers, nodes and clients, and the limits that the system sets for the brokers' processes.
type Setting struct {
	// Effect says what running a part twice does, for all three search classes unless PartialIsReadLike is set.
	Effect Effect
	// PartialIsReadLike gives ClassPartial the effect ReadLike, whatever Effect is.
	PartialIsReadLike bool
	// Brokers is the number of brokers.
	Brokers int
	// Groups is the number of replica groups. Shard s is held by the groups s, s+1, ... s+GroupsPerShard-1, modulo Groups.
	Groups int
	// GroupsPerShard is how many replica groups hold each shard.
	GroupsPerShard int
	// Shards is the number of shards.
	Shards int
	// NodesPerGroup is the number of nodes in each replica group.
	NodesPerGroup int
	// PartsPerFrame is the maximum number of parts that a broker may send to a node in one frame.
	PartsPerFrame int
	// StreamsPerConnection is the maximum number of calls (frames of parts that are not completely answered yet) that a broker may have on
	// one connection to a node.
	StreamsPerConnection int
	// MayCancel lets brokers cancel attempts, by a give-up frame to the node for each.
	MayCancel bool
	// MayProbe lets brokers send health probes to nodes.
	MayProbe bool
	// SecondCopies lets two attempts of a part be in flight at once.
	SecondCopies bool
	// LoadReports has no effect: nodes report their load with every answer, whether it is true or false. It is drawn at random like the
	// other fields, because without that draw the same seed would give other values for the fields that are drawn after it.
	LoadReports bool
	// MaxAttempts is the maximum number of attempts of a part.
	MaxAttempts int
	// MaxOpen is the maximum number of searches, and also of parts, that a broker may have in progress at once.
	MaxOpen int
	// FetchParts is the Class.FetchParts of ClassTwoStep: the maximum number of shards that the second step of its searches goes to.
	FetchParts int
	// Deadline is how long brokers may take for a search; clients wait 100 ms less.
	Deadline time.Duration
	// LatencyTarget is the time after a request's arrival from which an answer is worth less.
	LatencyTarget time.Duration
	// Window is the Class.Window of classes with the effect IdempotencyKey: how long nodes recognise a repeat of a part.
	Window time.Duration
	// PartialWholeShare is the Class.WholeShare of ClassPartial: the least share of the parts' weight, from 0 to 1, that must have
	// succeeded for an answer to be marked as whole.
	PartialWholeShare float64
	// PartialMinShare is the Class.MinShare of ClassPartial: the least share of the parts' weight, from 0 to 1, that must have succeeded for
	// any answer.
	PartialMinShare float64
	// ClassesReversed has the configuration list the classes in the opposite order.
	ClassesReversed bool
	// GrantedSockets is how many file descriptors the configuration grants a broker.
	GrantedSockets int
	// ExtraTextBytes is the length of each search's text beyond the usual one.
	ExtraTextBytes int
	// ReceiveBufferBytes is how many unread bytes nodes' machines buffer per connection; 0 for the system's default.
	ReceiveBufferBytes int
	// ShrinkReceiveBuffer has nodes apply ReceiveBufferBytes only to accepted connections, which shrinks the receive window that was
	// already advertised.
	ShrinkReceiveBuffer bool
	// MemoryMegabytes is the memory that the configuration grants a broker.
	MemoryMegabytes float64
	// DataLimitKilobytes has no effect, and is always 0: nothing sets or reads it. A limit on the writable memory of a running process is
	// set by limitMemory instead.
	DataLimitKilobytes int
	// MayCrash allows brokers to crash, which only shortMemoryFault gives them a reason for; otherwise each crash is an error of the
	// scenario.
	MayCrash bool
	// DescriptorLimit is how many file descriptors the system grants a broker; 0 for as many as this process has.
	DescriptorLimit int
}

// drawSetting returns a random setting whose search classes have the effect. The values that matter to repeated attempts are drawn from
// their full ranges.
func drawSetting(random *rand.Rand, effect Effect) Setting {
	either := func() bool { return random.IntN(2) == 0 }
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	// The fields are listed in the order in which their values are drawn.
	setting := Setting{
		Effect:               effect,
		Brokers:              3,
		Groups:               3,
		GroupsPerShard:       pick(1, 1, 2),
		Shards:               pick(3, maxShards),
		NodesPerGroup:        pick(1, 2, 2),
		PartsPerFrame:        pick(1, 2, 4),
		StreamsPerConnection: pick(1, 2, 32),
		MayCancel:            either(),
		MayProbe:             either(),
		LoadReports:          either(),
		MaxAttempts:          pick(2, 3, 4),
		MaxOpen:              400,
		FetchParts:           pick(1, 2),
		Deadline:             900 * time.Millisecond,
		LatencyTarget:        250 * time.Millisecond,
		Window:               200 * time.Millisecond,
		PartialWholeShare:    0.6,
		PartialMinShare:      0.3,
		GrantedSockets:       512,
		MemoryMegabytes:      defaultMemoryMegabytes,
	}
	return setting
}

// classes returns the search classes in the order in which the configuration states them.
func (s Setting) classes() []Class {
	classes := []Class{
		{Name: ClassWhole, WholeShare: 1, MinShare: 1},
		{Name: ClassPartial, WholeShare: s.PartialWholeShare, MinShare: s.PartialMinShare},
		{Name: ClassTwoStep, WholeShare: 1, MinShare: 1, FetchParts: s.FetchParts},
	}
	for i := range classes {
		classes[i].Effect, classes[i].Window = s.Effect, s.Window
	}
	if s.PartialIsReadLike {
		classes[1].Effect = ReadLike
	}
	if s.ClassesReversed {
		classes[0], classes[2] = classes[2], classes[0]
	}
	return classes
}

// contract returns the Contract by which the checker judges a broker that runs with the setting.
func (s Setting) contract() Contract {
	c := Contract{Classes: map[string]Class{}, SecondCopies: s.SecondCopies, MaxAttempts: s.MaxAttempts,
		LongestDeadline: s.Deadline, Groups: s.Groups, GroupsPerShard: s.GroupsPerShard, Slack: socketSlack}
	for _, class := range s.classes() {
		c.Classes[class.Name] = class
	}
	return c
}

// milliseconds returns a duration as a number of milliseconds, the unit of times in the configuration.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// configuration returns the text of a broker's configuration file, as JSON. name is the broker's name, listen the address that it listens
// at, discovery the address of the discovery service, and known the list of nodes that the broker starts with.
func (s Setting) configuration(name, listen, discovery string, known json.RawMessage) []byte {
	type object = map[string]any
	var classes []object
	var wholeShares, minShares, partialUtilities []float64
	var fetchParts []int
	for _, c := range s.classes() {
		classes = append(classes, object{"name": c.Name, "effect": c.Effect.String(), "target": milliseconds(s.LatencyTarget),
			"giveUp": milliseconds(s.Deadline), "worth": 1, "lateWorth": 0.5, "window": milliseconds(c.Window), "group": "all"})
		wholeShares, minShares, fetchParts = append(wholeShares, c.WholeShare), append(minShares, c.MinShare), append(fetchParts, c.FetchParts)
		partialUtilities = append(partialUtilities, 0.5)
	}
	raw, err := json.MarshalIndent(object{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": s.MemoryMegabytes, "sockets": s.GrantedSockets}, "known": known,
		"settings": object{"instances": s.Brokers, "tick": milliseconds(tickInterval), "myZone": ownZone, "discovery": "pushed",
			"worthBy": "request", "overShareWorth": 0.1, "lanes": classes,
			"tenants": []object{{"name": dealerName, "quotaPerS": 1000}},
			"familyInfo": object{"perCall": s.PartsPerFrame, "places": s.Groups, "reach": s.GroupsPerShard, "slices": s.Shards,
				"classNeed": wholeShares, "minShare": minShares, "incompleteWorth": partialUtilities, "fetchParts": fetchParts},
			"policyLimits": object{"mostTries": s.MaxAttempts, "maxOpen": s.MaxOpen, "streamsPerConn": s.StreamsPerConnection,
				"mayCancel": s.MayCancel, "mayProbe": s.MayProbe, "secondCopies": s.SecondCopies,
				"dialTimeout": milliseconds(dialTimeout), "keepalive": milliseconds(keepAlive)},
			"rules": object{"cold": 1000, "coldFrom": 0.5, "fall": 1000, "fallMultiple": 3, "drainGrace": milliseconds(drainGrace)}}}, "", " ")
	// These values can always be encoded.
	if err != nil {
		panic(err)
	}
	return raw
}
