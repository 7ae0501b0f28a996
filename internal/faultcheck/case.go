package faultcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Case identifies one scenario. All random choices of the scenario derive from its fields, so that each run makes the same ones.
type Case struct {
	// Faults are the names of the one or two faults that are injected; "none" alone for normal traffic.
	Faults []string
	// Effect is the effect that the configuration of the scenario's brokers gives the search classes.
	Effect Effect
	// Seed is the seed of all random numbers of the scenario.
	Seed uint64
	// BytePosition is the byte, counted from 0, at which a fault is injected if it is one that can be injected at any byte of a
	// connection's data; with everyBytePosition each injection takes the byte after that of the one before.
	BytePosition int
}

// everyBytePosition is the Case.BytePosition by which a fault is injected at each byte of a connection's data in turn, one byte further
// at each injection.
const everyBytePosition = -1

// String returns the case as fields separated by blanks, which ParseCase reads, such as "fault=starved+sigkill effect=read_like seed=1".
// The effect is the name that Effect.String gives. If the fault is injected at one byte only (BytePosition is not everyBytePosition), a
// field such as "at=17" with the number of that byte follows.
func (c Case) String() string {
	text := fmt.Sprintf("fault=%s effect=%s seed=%d", strings.Join(c.Faults, "+"), c.Effect, c.Seed)
	if c.BytePosition != everyBytePosition {
		text += fmt.Sprintf(" at=%d", c.BytePosition)
	}
	return text
}

// ReplayCommand returns the shell command that runs this case alone, by TestReplay.
func (c Case) ReplayCommand() string {
	return fmt.Sprintf("go test ./internal/faultcheck -run TestReplay -faultcheck.case='%s'", c)
}

// ParseCase parses the text that Case.String returns: fields KEY=VALUE separated by blanks, with the keys fault (names joined by plus
// signs), effect, seed and at (the BytePosition). An unknown key, fault or effect, a number that cannot be parsed, or a text without a
// fault is an error.
func ParseCase(text string) (Case, error) {
	scenario := Case{BytePosition: everyBytePosition}
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		var err error
		switch key {
		case "fault":
			scenario.Faults = strings.Split(value, "+")
		case "effect":
			scenario.Effect, err = ParseEffect(value)
		case "seed":
			scenario.Seed, err = strconv.ParseUint(value, 10, 64)
		case "at":
			scenario.BytePosition, err = strconv.Atoi(value)
		default:
			err = fmt.Errorf("an unknown field %q", key)
		}
		if err != nil {
			return scenario, err
		}
	}
	_, err := scenario.findFaults()
	return scenario, err
}

// ParseEffect returns the effect with the name that Effect.String gives it, such as "read_like". An unknown name is an error.
func ParseEffect(name string) (Effect, error) {
	for _, e := range Effects {
		if e.String() == name {
			return e, nil
		}
	}
	return 0, fmt.Errorf("an unknown effect %q", name)
}

// Effects are all effects, in the order of the columns of the results table.
var Effects = []Effect{ReadLike, IdempotencyKey, NonIdempotent}

// findFaults returns the case's faults, which it looks up by their names in Faults. An unknown name, or none at all, is an error.
func (c Case) findFaults() (found []InjectedFault, err error) {
	known := Faults()
	for _, name := range c.Faults {
		before := len(found)
		for _, f := range known {
			if f.Name == name {
				found = append(found, f)
			}
		}
		if len(found) == before {
			return nil, fmt.Errorf("an unknown fault %q", name)
		}
	}
	if len(found) == 0 {
		return nil, errors.New("no fault is named")
	}
	return found, nil
}
