package faultcheck

import (
	"slices"
	"time"
)

// terms are the limits that a contract, or several contracts combined, set for one search class.
type terms struct {
	// effect says what running a part of the class more than once does.
	effect Effect
	// window is how long a repeat is safe; it applies to IdempotencyKey alone (see Class.Window).
	window time.Duration
	// wholeShare is the least share, from 0 to 1, of the weight of all parts that must have succeeded for an answer that is marked as
	// whole.
	wholeShare float64
	// minShare is the least share, from 0 to 1, of the weight of all parts that must have succeeded for any answer.
	minShare float64
	// fetchParts is the maximum number of shards that the second step of a search goes to; 0 if searches have one step.
	fetchParts int
	// oneStep is set if answers may be made from a search's first step alone, without a second step.
	oneStep bool
	// secondCopies allows two attempts of a part to be in flight at once.
	secondCopies bool
	// maxAttempts is the maximum number of attempts of one part.
	maxAttempts int
}

// terms returns the limits that the contract sets for a class.
func (c *Contract) terms(class Class) terms {
	return terms{
		effect: class.Effect, window: class.Window, wholeShare: class.WholeShare, minShare: class.MinShare,
		fetchParts: class.FetchParts, oneStep: class.FetchParts == 0,
		secondCopies: c.SecondCopies, maxAttempts: c.MaxAttempts,
	}
}

// looser returns terms that allow whatever a allows and whatever b allows: for each limit, the value of the two that permits more.
func looser(a, b terms) terms {
	combined := terms{
		effect:       min(a.effect, b.effect),
		wholeShare:   min(a.wholeShare, b.wholeShare),
		minShare:     min(a.minShare, b.minShare),
		fetchParts:   max(a.fetchParts, b.fetchParts),
		oneStep:      a.oneStep || b.oneStep,
		secondCopies: a.secondCopies || b.secondCopies,
		maxAttempts:  max(a.maxAttempts, b.maxAttempts),
	}
	if combined.effect == IdempotencyKey {
		for _, either := range []terms{a, b} {
			if either.effect == IdempotencyKey {
				combined.window = max(combined.window, either.window)
			}
		}
	}
	return combined
}

// stricter returns terms that allow only the attempts and refusals that both a and b allow. The shares that an answer needs, and the
// number of steps, do not concern attempts: they are combined as in looser.
func stricter(a, b terms) terms {
	combined := looser(a, b)
	combined.effect = max(a.effect, b.effect)
	combined.secondCopies = a.secondCopies && b.secondCopies
	combined.maxAttempts = min(a.maxAttempts, b.maxAttempts)
	switch {
	case a.effect == b.effect:
		combined.window = min(a.window, b.window)
	case a.effect == combined.effect:
		combined.window = a.window
	default:
		combined.window = b.window
	}
	return combined
}

// contractsAt returns the contracts that the named broker may have applied at that time. After a change, both the old and the new one may
// apply until Slack after the SIGHUP, or until the broker logged the switch if that is later; after that, only the new one.
func (c *checker) contractsAt(broker string, at time.Time) []Contract {
	contracts := []Contract{c.Contract}
	for _, change := range c.contractChangesOf(broker) {
		switch {
		case change.At.After(at):
			return contracts
		case at.After(change.settledAt(c.Slack)):
			contracts = []Contract{change.Contract}
		default:
			contracts = append(contracts, change.Contract)
		}
	}
	return contracts
}

// contractsBetween returns the contracts that the named broker may have applied at any time between from and until.
func (c *checker) contractsBetween(broker string, from, until time.Time) []Contract {
	contracts := c.contractsAt(broker, from)
	for _, change := range c.contractChangesOf(broker) {
		if change.At.After(from) && !change.At.After(until) {
			contracts = append(contracts, change.Contract)
		}
	}
	return contracts
}

// contractChangesOf returns the changes of the Contract of the named broker in the order of time, beginning with the contract that its
// first process started with.
func (c *checker) contractChangesOf(broker string) []ContractChange {
	var changes []ContractChange
	for _, change := range c.ContractChanges {
		if change.Broker == broker {
			changes = append(changes, change)
		}
	}
	slices.SortStableFunc(changes, func(a, b ContractChange) int { return a.At.Compare(b.At) })
	return changes
}

// loosestTermsAt combines by looser the limits of all contracts that a delivery's broker may have applied at t. known is false if no contract
// of that time has the delivery's class.
func (c *checker) loosestTermsAt(d *Delivery, t time.Time) (loosest terms, known bool) {
	return loosestTerms(c.contractsAt(d.Broker, t), d)
}

// loosestTerms combines by looser the limits that the contracts set for the delivery's class. Contracts without that class are left out; if
// none has it, known is false.
func loosestTerms(contracts []Contract, d *Delivery) (loosest terms, known bool) {
	for _, contract := range contracts {
		class, ok := contract.Classes[d.Class]
		switch {
		case !ok:
		case known:
			loosest = looser(loosest, contract.terms(class))
		default:
			loosest, known = contract.terms(class), true
		}
	}
	return loosest, known
}

// acceptedBy returns the time by which a delivery's broker had certainly read the request, or t if that is earlier. It is the arrival of the
// first attempt that only this delivery can have caused, but at most Contract.Slack after the request was completely written. Before that
// time the broker may have switched to changed settings while the request was still unread.
func (c *checker) acceptedBy(delivery *Delivery, t time.Time) time.Time {
	accepted := delivery.WrittenAt.Add(c.Slack)
	if t.Before(accepted) {
		accepted = t
	}
	for _, i := range c.attemptsBySearch[delivery.Search] {
		if arrived := c.Attempts[i].ArrivedAt; arrived.After(delivery.WrittenAt) && arrived.Before(accepted) && c.isOnlyDeliveryBy(delivery, arrived) {
			accepted = arrived
		}
	}
	return accepted
}

// isOnlyDeliveryBy reports whether no other delivery of the same search was completely written by t.
func (c *checker) isOnlyDeliveryBy(d *Delivery, t time.Time) bool {
	return !slices.ContainsFunc(c.deliveriesBySearch[d.Search], func(i int) bool {
		other := &c.Deliveries[i]
		return i != d.Index && !other.WrittenAt.IsZero() && !other.WrittenAt.After(t)
	})
}

// termsAt returns the terms by which an attempt or a refusal of a delivery at t is checked: the stricter of those in force when the search
// was accepted and those in force at t. If either of two contracts may have been in force at one of these times, the looser one is taken,
// so that only what breaks both of them is a violation. If no contract of either time has the delivery's class, it returns the terms that
// c.Contract sets for a zero Class.
func (c *checker) termsAt(d *Delivery, t time.Time) terms {
	delivered, knownThen := loosestTerms(c.contractsBetween(d.Broker, d.WrittenAt, c.acceptedBy(d, t)), d)
	now, knownNow := c.loosestTermsAt(d, t)
	switch {
	case knownThen && knownNow:
		return stricter(delivered, now)
	case knownNow:
		return now
	case knownThen:
		return delivered
	}
	return c.Contract.terms(Class{})
}

// answerTerms returns the terms by which the answer to a delivery is checked: those of all contracts that the broker may have applied between
// the writing of the request and the end of the answer, combined by looser. If none of these contracts has the delivery's class, it returns
// the terms that c.Contract sets for a zero Class.
func (c *checker) answerTerms(delivery *Delivery) terms {
	loosest, known := c.loosestTermsAt(delivery, delivery.WrittenAt)
	for _, change := range c.contractChangesOf(delivery.Broker) {
		if change.At.Before(delivery.WrittenAt) || change.At.After(delivery.EndedAt) {
			continue
		}
		if class, ok := change.Classes[delivery.Class]; ok {
			changed := change.Contract.terms(class)
			if known {
				changed = looser(loosest, changed)
			}
			loosest, known = changed, true
		}
	}
	if !known {
		return c.Contract.terms(Class{})
	}
	return loosest
}

// attemptTerms returns the terms by which the attempt with this index is checked: those of all deliveries that may have caused it, combined
// by looser.
func (c *checker) attemptTerms(attemptIndex int) terms {
	var loosest terms
	for n, d := range c.origins[attemptIndex] {
		candidate := c.termsAt(&c.Deliveries[d], c.Attempts[attemptIndex].ArrivedAt)
		if n > 0 {
			candidate = looser(loosest, candidate)
		}
		loosest = candidate
	}
	return loosest
}
