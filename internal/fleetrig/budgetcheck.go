package fleetrig

import (
	"cmp"
	"slices"

	"brackenfront/budget"
)

// BudgetUse is what all brokers together used of one budget, as the Checker recorded it. A rate budget limits the units spent per
// second, a stock budget the units held at the same time.
type BudgetUse struct {
	// Units is the number of units that were spent from a rate budget, or taken from a stock budget, in the whole run.
	Units int
	// MaxHeld is the largest number of units of a stock budget that brokers held at the same time; 0 for a rate budget.
	MaxHeld int `json:"Most"`
	// Excess is the number of units beyond the budget, in the worst time window of a rate budget or at the worst moment of a stock
	// budget. If it is negative, its absolute value is the smallest number of units that remained unused; -1e9 if nothing was spent from
	// a rate budget.
	Excess float64 `json:"Over"`
	// At is when Excess was reached, in seconds of the machine's clock; 0 if Units is 0.
	At float64
}

// CheckBudget compares what all brokers together used of the named budget, as recorded so far, with its specification: for a rate in
// time windows of every length, for a stock at every moment. Times are those at which uses arrived, by the machine's clock.
func (c *Checker) CheckBudget(name string, spec budget.Spec) (use BudgetUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unit := float64(budget.Unit)
	use.Excess = -1e9
	// A token bucket that is full at first runs dry exactly if some window has more than rate x window + burst.
	if spec.Kind == budget.Rate {
		level := float64(spec.Burst) / unit
		levelAt := 0.0
		for _, spent := range c.budgetUses {
			if spent.RateBudget != name {
				continue
			}
			if use.Units++; levelAt > 0 {
				level = min(level+float64(spec.Total)/unit*(spent.At-levelAt), float64(spec.Burst)/unit)
			}
			level--
			levelAt = spent.At
			if -level > use.Excess {
				use.Excess = -level
				use.At = levelAt
			}
		}
		return use
	}
	// change is a moment at which the number of held units of a stock goes up or down by one.
	type change struct {
		// at is the moment, in seconds of the machine's clock.
		at float64
		// more is 1 if a unit is taken, and -1 if it is given back.
		more int
	}
	var changes []change
	for _, taken := range c.budgetUses {
		if taken.StockBudget == name {
			use.Units++
			changes = append(changes, change{taken.At, 1}, change{taken.At + taken.HoldSeconds, -1})
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		if order := cmp.Compare(a.at, b.at); order != 0 {
			return order
		}
		return a.more - b.more
	})
	held := 0
	for _, step := range changes {
		if held += step.more; held > use.MaxHeld {
			use.MaxHeld = held
			use.At = step.at
		}
	}
	use.Excess = float64(use.MaxHeld) - float64(spec.Total)/unit
	return use
}
