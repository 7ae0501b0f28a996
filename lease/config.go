package lease

import (
	"errors"
	"fmt"
	"math"
)

// Config is the configuration with which a council is founded. It holds for all members of the council and all their clients.
// The JSON names are those that the processes of the fleet's test rig exchange.
type Config struct {
	// TTL is for how many seconds of true time (as a clock without drift measures it), at least, the council keeps a session
	// open after a call that renews it.
	TTL float64 `cbor:"1,keyasint"`

	// MaxClockDrift is how far the rate of a clock may be from that of a clock without drift, as a fraction: 0.01 allows
	// rates from 0.99 to 1.01.
	MaxClockDrift float64 `cbor:"2,keyasint" json:"Drift"`

	// MaxSessions is how many sessions may be open with the council at the same time; a call that would open one more gets
	// LimitReached.
	MaxSessions int `cbor:"3,keyasint" json:"Sessions"`

	// MaxLeases is how many different leases may be held or waited for at the same time, by all sessions together; to ask for
	// another one gets LimitReached.
	MaxLeases int `cbor:"4,keyasint" json:"Names"`

	// MaxWaiters is how many sessions may wait for the same lease at the same time; a further one gets LimitReached.
	MaxWaiters int `cbor:"5,keyasint" json:"Line"`

	// MaxWait is for how many seconds, at most, a session may wait for a lease; a longer Op.Wait is shortened to it.
	MaxWait float64 `cbor:"6,keyasint" json:"Longest"`
}

// Bounds of configurations and of calls. What is beyond them is refused: a configuration by Validate, an operation or a call as
// Invalid, and the note of one lease more with LimitReached.
const (
	// maxDriftLimit is the largest valid Config.MaxClockDrift, as a fraction of a clock's rate.
	maxDriftLimit = 0.2

	// maxNameBytes is the longest name of a lease, a budget or an owner, and the longest Call.Addr, in bytes.
	maxNameBytes = 128

	// maxPlaces is the largest number of places of a lease.
	maxPlaces = 1024

	// MaxOps is the largest number of operations (Op) that one call of a session to the council may carry.
	MaxOps = 1024

	// MaxNoteBytes is the largest size of a note, in bytes.
	MaxNoteBytes = 256 << 10

	// maxNotes is the largest number of leases that may have a note.
	maxNotes = 256
)

// DefaultConfig returns the configuration of a council whose operator states nothing else.
func DefaultConfig() Config {
	return Config{TTL: 10, MaxClockDrift: 0.01, MaxSessions: 4096, MaxLeases: 65536, MaxWaiters: 4096, MaxWait: 3600}
}

// Validate reports everything that is wrong with the configuration in one joined error; nil for a valid one.
func (c Config) Validate() error {
	var problems []error
	if !(c.TTL > 0 && c.TTL <= 3600) {
		problems = append(problems, fmt.Errorf("ttl: got %v s, expected more than 0 and at most 3600", c.TTL))
	}
	if !(c.MaxClockDrift >= 0 && c.MaxClockDrift <= maxDriftLimit) {
		problems = append(problems, fmt.Errorf("drift: got %v, expected 0 to %v", c.MaxClockDrift, maxDriftLimit))
	}
	if c.MaxSessions < 1 || c.MaxLeases < 1 || c.MaxWaiters < 1 || !(c.MaxWait > 0) || math.IsInf(c.MaxWait, 0) {
		problems = append(problems, errors.New("sessions, names, line and longest: expected to be above 0"))
	}
	return errors.Join(problems...)
}

// SessionTimeout is for how many seconds, by its own time, the council keeps a session open after a call that renews it.
func (c Config) SessionTimeout() float64 { return c.TTL * (1 + c.MaxClockDrift) }

// HoldTimeout is for how many seconds, by its own clock, a holder may operate under its leases after it sent a renewal that
// was answered. It is shorter than SessionTimeout, so that it ends first however both clocks drift.
func (c Config) HoldTimeout() float64 { return c.TTL * (1 - c.MaxClockDrift) }
