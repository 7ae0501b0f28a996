// Package budget divides a limit that is stated for a whole fleet among its brokers, and decides how much of it one broker
// may use now.
//
// Two properties hold, and tests check them from outside:
//
//  1. The total is never exceeded. At every moment the sum over all processes (running, suspended, partitioned or just
//     started) of what each may use is at most the total, bursts included: in every window all of them together spend at
//     most rate x window + burst, and hold at most the stock.
//  2. Unused amounts are divided again. While the council is up, what is free goes to the brokers that use it, within a
//     stated time.
//
// The first property rests on the council's agreed log and on the bound on the rates of clocks, as leases do (package
// lease): a share is a lease of an amount. A share is first cut; only once the broker has acknowledged the cut, or its
// lease has expired by the council's longer clock, is the amount given to another. What a broker has saved up from a share
// goes when the share is cut. Each broker's floor is set aside from the total for good: it needs no council, and a broker
// that the council does not know has nothing beyond it.
//
// Amounts are whole thousandths, so that sums are exact: of units per second (rates), or of units (stocks). The package does
// no I/O, reads no clock and starts no goroutine. Times are seconds.
//
// Terms of this package:
//   - A rate limits units per second, which are spent. A stock limits units in use at the same time, which are held and
//     given back.
//   - The floor is the amount that each broker may use at any time, without the council.
//   - A share is the amount beyond the floor that the council has granted a broker; it ends unless it is renewed.
//   - To cut a share is to replace it by a smaller one.
//   - The token bucket of a rate holds the units that a broker has not used so far and may spend at once; it is refilled
//     at the rate of floor and share. The burst (Spec.Burst) limits the size of all brokers' buckets together.
//   - The demand is the number of units that were asked for; a refusal is a unit that was asked for and not granted.
//   - The divisible amount is the part of the total that is not set aside for floors.
//   - A division computes all shares of a budget from the brokers' last reports of their use.
package budget

import (
	"errors"
	"fmt"
)

// Kind is what a budget limits: a rate (units per second) or a stock (units in use at the same time).
type Kind uint8

const (
	// Rate limits units per second; a burst of units that were not used before may be used at once.
	Rate Kind = iota + 1

	// Stock limits how many units are in use (held) at the same time.
	Stock
)

// String returns the name of the kind as it is shown to operators; "" for the zero Kind.
func (k Kind) String() string { return [...]string{"", "rate", "stock"}[k] }

// Amount is a number of thousandths of a unit (of a stock), or of a unit per second (of a rate).
type Amount = int64

// Unit is one whole unit, or one unit per second, as an Amount.
const Unit Amount = 1000

// Spec is the definition of one budget for the whole fleet.
type Spec struct {
	// Kind says whether the budget is a Rate (units per second) or a Stock (units in use at the same time).
	Kind Kind `cbor:"1,keyasint" json:"kind"`

	// Total is the amount that all brokers together may use, in thousandths of a unit, or for a rate of a unit per second.
	Total Amount `cbor:"2,keyasint" json:"whole"`

	// Burst is, for a rate, how much that was not used before all brokers together may use at once, in thousandths of a
	// unit. It bounds the sum of the sizes of their token buckets and of MaxPending units for each of MaxBrokers.
	Burst Amount `cbor:"3,keyasint,omitempty" json:"burst,omitempty"`

	// Floor is the amount that each broker may use at any time, without the council, in thousandths of a unit, or for a rate of
	// a unit per second.
	Floor Amount `cbor:"4,keyasint,omitempty" json:"floor,omitempty"`

	// MaxBrokers is the largest number of brokers that is expected; the floor is set aside from Total for that many. While
	// more brokers use the budget, it is set aside for each of those instead.
	MaxBrokers int `cbor:"5,keyasint" json:"brokers"`

	// MaxPending is how many whole units a broker may have decided to use without having begun to use them. Its process may
	// be suspended between the decision and the use, and so use them late. So many units are therefore set aside for each
	// broker, from Burst for a rate and from Total for a stock.
	MaxPending int64 `cbor:"7,keyasint,omitempty" json:"in_hand,omitempty"`

	// ReleaseDelay is, for a stock, for how many seconds units may remain held after the share that allowed them was cut or has
	// ended; other brokers get them only after that.
	ReleaseDelay float64 `cbor:"6,keyasint,omitempty" json:"linger,omitempty"`
}

const (
	// maxBrokerCount is the largest valid Spec.MaxBrokers, and the largest weight of a Claim in a division: a larger one
	// counts as this.
	maxBrokerCount = 1 << 16

	// maxAmount is the largest valid Spec.Total and Spec.Burst, in thousandths, so that products in weightedPortion do not
	// overflow. The demand for a rate that TakeDemand returns is capped at it too.
	maxAmount = 1 << 50

	// maxPendingLimit is the largest valid Spec.MaxPending, in units.
	maxPendingLimit = 1024

	// maxReleaseDelay is the largest valid Spec.ReleaseDelay, in seconds.
	maxReleaseDelay = 3600
)

// Validate reports everything that is wrong with the spec in one joined error; nil for a valid spec.
func (s Spec) Validate() error {
	var problems []error
	report := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	if s.Kind != Rate && s.Kind != Stock {
		report("kind: got %d, expected a rate or a stock", s.Kind)
	}
	if s.MaxBrokers < 1 || s.MaxBrokers > maxBrokerCount {
		report("brokers: got %d, expected 1 to %d", s.MaxBrokers, maxBrokerCount)
		return errors.Join(problems...)
	}
	if s.Total < 0 || s.Total > maxAmount {
		report("whole: got %d thousandths, expected 0 to %d", s.Total, int64(maxAmount))
	}
	if s.Floor < 0 || s.Floor > s.Total/int64(s.MaxBrokers) {
		report("floor: got %d thousandths, expected at most the whole divided by %d brokers, %d",
			s.Floor, s.MaxBrokers, s.Total/int64(s.MaxBrokers))
	}
	if s.MaxPending < 0 || s.MaxPending > maxPendingLimit {
		report("in_hand: got %d, expected 0 to %d", s.MaxPending, maxPendingLimit)
	}
	if s.Kind == Rate && s.Total > 0 && (s.Burst < int64(s.MaxBrokers)*(1+s.MaxPending)*Unit || s.Burst > maxAmount) {
		report("burst: got %d thousandths, expected at least one unit, and what may be in hand, for each of %d brokers: "+
			"a broker with less could never save up a unit to spend", s.Burst, s.MaxBrokers)
	}
	if !(s.ReleaseDelay >= 0 && s.ReleaseDelay <= maxReleaseDelay) {
		report("linger: got %v s, expected 0 to %d", s.ReleaseDelay, maxReleaseDelay)
	}
	return errors.Join(problems...)
}

// Divisible returns the amount that is left to divide among the brokers' shares: the total less the floor, and for a stock less
// MaxPending, of each broker. It counts MaxBrokers, or the given number of brokers if that is larger. It is never below 0.
func (s Spec) Divisible(brokers int) Amount {
	perBroker := s.Floor
	if s.Kind == Stock {
		perBroker += s.MaxPending * Unit
	}
	return max(s.Total-int64(max(s.MaxBrokers, brokers))*perBroker, 0)
}

// bucketSizeFor returns the size, in units, of the token bucket of a broker with this share (in thousandths) of a rate: one
// unit for the floor, and a part of the burst that is left once 1+MaxPending units are set aside for each of MaxBrokers. The
// broker has the same fraction of that as its share is of the divisible amount. The size is 0 if Total is 0.
func (s Spec) bucketSizeFor(share Amount) float64 {
	if s.Total == 0 {
		return 0
	}
	divisible := s.Divisible(0)
	if divisible == 0 {
		return 1
	}
	return 1 + float64(s.Burst-int64(s.MaxBrokers)*(1+s.MaxPending)*Unit)/float64(Unit)*float64(min(share, divisible))/float64(divisible)
}
