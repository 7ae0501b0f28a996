package protocol

import (
	"encoding/json"
	"fmt"
	"time"

	"brackenfront/balance"
	"brackenfront/zones"
)

// secondsPerMillisecond converts the milliseconds of the configuration to seconds.
const secondsPerMillisecond = 1e-3

// defaultZoneInitialShare is the share, from 0 to 1, of its normal load that a zone gets at first when it returns after a
// failure, if the settings state no warm-up of nodes.
const defaultZoneInitialShare = 0.1

// settingsJSON is the JSON form of the settings, with the members that the broker uses; others are ignored. Times are in
// milliseconds.
type settingsJSON struct {
	// Classes are the classes of searches that the broker serves.
	Classes []classJSON `json:"lanes"`
	// Dealers are the customers that quotas are for.
	Dealers []struct {
		// Name is the name of the dealer.
		Name string
		// QuotaPerS is the dealer's quota in searches a second, at all brokers together.
		QuotaPerS float64
	} `json:"tenants"`
	// FamilyInfo describes how shards are spread over nodes and which answers count. Each of its lists has one element for
	// each class, in the order of Classes.
	FamilyInfo struct {
		// PerCall is the maximum number of parts that one call to a node may contain.
		PerCall int
		// Places is the number of replica groups; the nodes of one group hold the same shards.
		Places int
		// Reach is the number of replica groups that hold each shard.
		Reach int
		// Slices is the number of shards that the data is divided into.
		Slices int
		// ClassNeed is, for each class, the sum of the weights of the parts with values from which an answer counts as
		// complete; from 0 to 1.
		ClassNeed []float64
		// MinShare is, for each class, the sum of the weights of the parts with values below which a search gets no answer;
		// from 0 to 1.
		MinShare []float64
		// IncompleteWorth is, for each class, the factor on the utility of an answer that is not complete.
		IncompleteWorth []float64
		// FetchParts is, for each class, the maximum number of parts of the second step of a search; 0 if it has no second
		// step.
		FetchParts []int
	}
	// PolicyLimits are the limits on what the broker may send to nodes and tell clients: on attempts, on searches in flight,
	// on the use and the times of connections, and whether cancellations, probes and advice on retries are allowed at all.
	PolicyLimits struct {
		// MostTries is the maximum number of attempts of one part.
		MostTries int
		// MaxOpen is the maximum number of searches and parts in flight at once, counted together.
		MaxOpen int
		// StreamsPerConn is the maximum number of concurrent calls on one connection to a node.
		StreamsPerConn int
		// MayCancel says whether nodes may be notified that the broker no longer waits for a part.
		MayCancel bool
		// MayProbe says whether nodes may be probed.
		MayProbe bool
		// RetryAfter says whether the answer to a rejected search may state how long the client should wait before it
		// retries.
		RetryAfter bool
		// MaxRetryAfter is the longest wait that such an answer may state, in milliseconds.
		MaxRetryAfter float64
		// DialTimeout is how long a connection may take to be established, in milliseconds.
		DialTimeout float64
		// Keepalive is how long a connection may stay unused before either side closes it, in milliseconds.
		Keepalive float64
	}
	// Rules are the rules for nodes that warm up or drain, and the retry budget.
	Rules struct {
		// Cold is how long a node warms up after its start, in milliseconds.
		Cold float64
		// ColdFrom is the share of a warm node's load that a node may get right after its start; the share grows to 1 in the
		// time Cold.
		ColdFrom float64
		// Fall is the length of the sliding window over which the load of a node that warms up is measured, in milliseconds.
		Fall float64
		// FallMultiple is the maximum load of a node that warms up within the time Fall, as a multiple of what its current
		// capacity can process in that time.
		FallMultiple float64
		// CountedOver is the length of the sliding window over which the retry budget counts retries, which are further
		// attempts of parts, in milliseconds; 0 if there is no budget.
		CountedOver float64
		// FurtherRatio is the number of retries within CountedOver that each accepted search or part adds to the retry
		// budget.
		FurtherRatio float64
		// MinExtra is the number of retries that the retry budget allows within CountedOver besides those that FurtherRatio
		// adds.
		MinExtra float64
		// DrainGrace is the time, in milliseconds from the notification that a node is draining, after which nothing new may
		// reach that node.
		DrainGrace float64
	}
	// Discovery says how the broker gets the list of nodes: "on_request" if it subscribes only when it needs the list;
	// otherwise it subscribes at its start.
	Discovery string
	// MyZone is the zone of this broker.
	MyZone string
	// Brokers is the number of brokers that the quotas and the capacity of nodes are divided among.
	Brokers int `json:"instances"`
	// OverShareWorth is the factor on the utility of a search that exceeds its dealer's quota.
	OverShareWorth float64
	// Tick is the unit of the broker's intervals, in milliseconds: for example, its check for overdue parts and expired
	// searches runs every four ticks; see balance.Settings.Tick.
	Tick float64
}

// classJSON is the JSON form of a class of searches. Times are in milliseconds.
type classJSON struct {
	// Name is the name of the class.
	Name string
	// Effect says what running a part twice does: no harm, as with a read ("read_like"); no harm as long as nodes recognize
	// the repeat by its key ("idempotency_key"); or harm ("non_idempotent"). See parseEffect.
	Effect string
	// Group says which replicas of a shard drop the repeat of a part with an idempotency key: all of them if it is empty or
	// "all", otherwise only some.
	Group string
	// Target is the latency target in milliseconds: the time after which an answer has less utility, by the factor
	// LateUtility.
	Target float64
	// Timeout is the longest time that a client waits for its answer, in milliseconds.
	Timeout float64 `json:"giveUp"`
	// Window is the repeat window: how long nodes recognize and drop the repeat of a part with an idempotency key, in
	// milliseconds.
	Window float64
	// Utility is the utility of a complete answer within the latency target: by it the broker prefers some searches when it
	// cannot serve all. Only the ratios between classes matter.
	Utility float64 `json:"worth"`
	// LateUtility is the factor on the utility of an answer after the latency target; 0 if a late answer has no utility.
	LateUtility float64 `json:"lateWorth"`
}

// Deployment is the parsed form of the JSON settings: those of the balance package, the indexes of classes and dealers by
// name, and the limits that only a program with network connections has to enforce.
type Deployment struct {
	// Settings are the settings of the balance package, in its units.
	Settings balance.Settings
	// ClassIndexes maps the name of each class to its index in Settings.Classes.
	ClassIndexes map[string]int
	// DealerIndexes maps the name of each dealer to its index in Settings.Quotas.
	DealerIndexes map[string]int
	// LocalZone is the zone of this broker.
	LocalZone string
	// ZoneOrder says which zones the brokers of each zone prefer, as the operator's options state; nil if they do not.
	ZoneOrder *zones.Preferences

	// MaxInFlight is the maximum number of searches and parts in flight at once, counted together.
	MaxInFlight int
	// MaxCallsPerConn is the maximum number of concurrent calls on one connection to a node.
	MaxCallsPerConn int
	// DialTimeout is how long a connection may take to be established.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused before either side closes it.
	IdleTimeout time.Duration
	// MaxDeadline is the longest time that a client waits for its answer: the maximum over all classes.
	MaxDeadline time.Duration
	// DrainGrace is the time, from the notification that a node is draining, after which nothing new may reach that node.
	DrainGrace time.Duration
}

// ParseSettings converts JSON settings, in the form of settingsJSON, into a Deployment. Both the simulator's adapter and the
// program use it. seed initializes the random choices of this broker. It checks only what it needs for the conversion;
// Settings.Validate and validateLimits check the values.
func ParseSettings(raw json.RawMessage, seed uint64) (*Deployment, error) {
	parsed := new(settingsJSON)
	if err := json.Unmarshal(raw, parsed); err != nil {
		return nil, err
	}
	limits := &parsed.PolicyLimits
	deployment := &Deployment{
		Settings:        parsed.limitsAndRules(seed),
		ClassIndexes:    map[string]int{},
		DealerIndexes:   map[string]int{},
		LocalZone:       parsed.MyZone,
		MaxInFlight:     limits.MaxOpen,
		MaxCallsPerConn: limits.StreamsPerConn,
		DialTimeout:     millisToDuration(limits.DialTimeout),
		IdleTimeout:     millisToDuration(limits.Keepalive),
		DrainGrace:      millisToDuration(parsed.Rules.DrainGrace),
	}
	if err := deployment.addClasses(parsed); err != nil {
		return nil, err
	}
	for i, dealer := range parsed.Dealers {
		deployment.Settings.Quotas = append(deployment.Settings.Quotas, dealer.QuotaPerS)
		deployment.DealerIndexes[dealer.Name] = i
	}
	return deployment, nil
}

// limitsAndRules returns the settings of the balance package that are the same for all classes and dealers: without
// Classes and Quotas. seed initializes the random choices of this broker.
func (s *settingsJSON) limitsAndRules(seed uint64) balance.Settings {
	family := &s.FamilyInfo
	limits := &s.PolicyLimits
	rules := &s.Rules
	settings := balance.Settings{
		Seed:              seed,
		Brokers:           s.Brokers,
		Tick:              s.Tick * secondsPerMillisecond,
		OverQuotaUtility:  s.OverShareWorth,
		Groups:            family.Places,
		GroupsPerShard:    family.Reach,
		Shards:            family.Slices,
		MaxPartsPerCall:   family.PerCall,
		MaxAttempts:       limits.MostTries,
		CanCancel:         limits.MayCancel,
		CanProbe:          limits.MayProbe,
		NodeListOnRequest: s.Discovery == "on_request",
		WarmupTime:        rules.Cold * secondsPerMillisecond,
		WarmupStartShare:  rules.ColdFrom,
		OverloadWindow:    rules.Fall * secondsPerMillisecond,
		OverloadMultiple:  rules.FallMultiple,
		RetryBudgetMin:    rules.MinExtra,
		RetryBudgetShare:  rules.FurtherRatio,
		RetryBudgetWindow: rules.CountedOver * secondsPerMillisecond,
	}
	if limits.RetryAfter {
		settings.MaxRetryAfter = limits.MaxRetryAfter * secondsPerMillisecond
	}
	return settings
}

// addClasses adds the classes of the JSON settings to the deployment. It returns an error if a class's effect is unknown or
// a list of familyInfo does not have one element for each class.
func (d *Deployment) addClasses(parsed *settingsJSON) error {
	family := &parsed.FamilyInfo
	classes := len(parsed.Classes)
	if len(family.ClassNeed) != classes || len(family.MinShare) != classes || len(family.IncompleteWorth) != classes ||
		len(family.FetchParts) != classes {
		return fmt.Errorf("familyInfo: expected %d values each", classes)
	}
	for i, class := range parsed.Classes {
		effect, err := parseEffect(class.Effect, class.Group)
		if err != nil {
			return fmt.Errorf("lanes[%d].%w", i, err)
		}
		d.Settings.Classes = append(d.Settings.Classes, balance.SearchClass{
			Name:           class.Name,
			LatencyTarget:  class.Target * secondsPerMillisecond,
			Timeout:        class.Timeout * secondsPerMillisecond,
			RepeatWindow:   class.Window * secondsPerMillisecond,
			Utility:        class.Utility,
			LateUtility:    class.LateUtility,
			Effect:         effect,
			CompleteShare:  family.ClassNeed[i],
			MinShare:       family.MinShare[i],
			PartialUtility: family.IncompleteWorth[i],
			FetchParts:     family.FetchParts[i],
		})
		d.ClassIndexes[class.Name] = i
		d.MaxDeadline = max(d.MaxDeadline, millisToDuration(class.Timeout))
	}
	return nil
}

// parseEffect converts the members effect ("read_like", "idempotency_key" or "non_idempotent") and group of a class in the
// settings to the class's effect, which says whether a part may run twice without harm; other texts are errors. An
// idempotency key makes a repeat safe only if every holder of the shard drops repeats, that is, if group is empty or "all".
// Otherwise another attempt may reach a holder that does not drop it, so the class counts as non-idempotent.
func parseEffect(effect, group string) (balance.Effect, error) {
	switch effect {
	case "read_like":
		return balance.Idempotent, nil
	case "idempotency_key":
		if group != "" && group != "all" {
			return balance.NonIdempotent, nil
		}
		return balance.IdempotencyKeyed, nil
	case "non_idempotent":
		return balance.NonIdempotent, nil
	}
	return 0, fmt.Errorf("effect: expected read_like, idempotency_key or non_idempotent, got %q", effect)
}

// ZoneGuardConfig returns the configuration of the failover between zones from values that the operator sets: spillover is
// the load that the zones may take beyond what they carried when healthy, as a fraction of all load; retryDelay and
// maxRetryDelay are the first and the longest time until a lost zone is tried again, and lossMemory is the time without a
// loss after which its count of losses falls by one, all in seconds. If nodes need a warm-up, a zone that returns after a
// loss gets at first the share of its load that the settings grant to a node that has just started.
func (d *Deployment) ZoneGuardConfig(spillover, retryDelay, maxRetryDelay, lossMemory float64) *zones.Config {
	settings := &d.Settings
	config := &zones.Config{
		SpilloverShare:       spillover,
		InitialShare:         defaultZoneInitialShare,
		WarmupSeconds:        settings.WarmupTime,
		RetryDelaySeconds:    retryDelay,
		MaxRetryDelaySeconds: maxRetryDelay,
		LossMemorySeconds:    lossMemory,
		ConfiguredZones:      d.ZoneOrder.ZoneCount(),
		ProbesAllowed:        settings.CanProbe,
	}
	if settings.WarmupTime > 0 {
		config.InitialShare = settings.WarmupStartShare
	}
	return config
}

// validateLimits checks the settings that a program with network connections needs and the balance package does not. The
// error names the first that is missing or too small.
func (d *Deployment) validateLimits() error {
	for _, check := range []struct {
		// field is the setting's name in the file, and valid says whether its value is.
		field string
		valid bool
	}{
		{"policyLimits.maxOpen", d.MaxInFlight > 0},
		{"policyLimits.streamsPerConn", d.MaxCallsPerConn > 0},
		{"policyLimits.dialTimeout", d.DialTimeout > 0},
		{"policyLimits.keepalive", d.IdleTimeout > d.DialTimeout},
		{"tick", d.Settings.Tick > 0},
	} {
		if !check.valid {
			return fmt.Errorf("%s: missing or too small", check.field)
		}
	}
	return nil
}

// millisToDuration converts milliseconds to a Duration.
func millisToDuration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
