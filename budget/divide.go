package budget

import "slices"

// Claim is what the division of a budget takes into account of one broker: its current share, and its use in the period of its
// last report.
type Claim struct {
	// CurrentShare is the share, in thousandths, that the broker was last given beyond its floor.
	CurrentShare Amount

	// Available is the amount, in thousandths, that the broker was allowed to use when it reported: floor and share.
	Available Amount

	// Used is the amount, in thousandths, that the broker used in the period of its report, as Allowance.TakeDemand returns it:
	// smoothed for a rate, the largest amount held for a stock.
	Used Amount

	// Refused is the amount, in thousandths, that the broker refused in the period of its report because it had used up what
	// it was allowed to use.
	Refused Amount

	// Weight is the broker's weight in the division: with twice the weight a broker gets twice as much of an amount that does
	// not suffice for all. It has no unit, and 0 counts as 1.
	Weight int64
}

const (
	// maxGrowthFactor bounds the amount that one division of a budget counts as a broker's need: at most this multiple of
	// what the broker used (or of its initial share, if that is more), plus its initial share (see initialDivisor).
	maxGrowthFactor = 8

	// unusedDivisor says when a broker's refusals count as need: only if the broker left at most 1/unusedDivisor, a fifth, of
	// what it was allowed to use unused.
	unusedDivisor = 5

	// marginDivisor sets two margins of a division to 1/marginDivisor, an eighth. That fraction of what a broker used (or,
	// where refusals count as need, of what it refused) is added to its need as headroom. A share that would change by at
	// most that fraction stays as it is, unless it would grow and is below the need.
	marginDivisor = 8

	// initialDivisor sets the initial share, with which a broker without any use so far may begin: 1/initialDivisor, a
	// sixteenth, of the divisible amount divided by the number of brokers in the division.
	initialDivisor = 16
)

// needBeyondFloor returns the amount, in thousandths, that a broker needs beyond its floor, computed from its use. Refusals
// count only for a broker that uses nearly all that it may, and the need is bounded by a multiple of its use (maxGrowthFactor),
// so that a broker gains nothing by asking for more than it uses. divisible is the amount, in thousandths, that is divided, and
// claimCount the number of brokers in the division.
func (s Spec) needBeyondFloor(claim Claim, divisible Amount, claimCount int) Amount {
	used := max(claim.Used, 0)
	refused := max(claim.Refused, 0)
	available := max(claim.Available, s.Floor)
	evenShare := max(divisible/int64(max(claimCount, 1)), 1)
	need := used + used/marginDivisor
	if used >= available-available/unusedDivisor {
		initial := evenShare / initialDivisor
		need = min(used+refused+refused/marginDivisor, maxGrowthFactor*max(used, initial)+initial)
	}
	return min(max(need-s.Floor, 0), divisible)
}

// Divide returns the share, in thousandths, of the divisible amount for each claim, in the order of the claims. Where all needs
// can be met, each claim gets its need, and the rest is divided in proportion to the weights; otherwise the division is max-min
// fair by weight. Shares that would change little (marginDivisor) keep their value. The sum is never above the divisible amount.
// The result depends on the arguments alone, so that every member of the council computes the same.
func (s Spec) Divide(divisible Amount, claims []Claim) []Amount {
	claimCount := len(claims)
	shares := make([]Amount, claimCount)
	if claimCount == 0 || divisible <= 0 {
		return shares
	}
	limits := make([]Amount, claimCount)
	weights := make([]int64, claimCount)
	for i, claim := range claims {
		limits[i] = s.needBeyondFloor(claim, divisible, claimCount)
		weights[i] = min(max(claim.Weight, 1), maxBrokerCount)
	}
	distribute(shares, limits, weights, divisible)
	needs := slices.Clone(limits)
	left := divisible
	for _, share := range shares {
		left -= share
	}
	if left > 0 {
		// All needs are met: the rest is divided as headroom for later demand.
		for i := range limits {
			limits[i] = divisible
		}
		extra := make([]Amount, claimCount)
		distribute(extra, limits, weights, left)
		for i := range shares {
			shares[i] += extra[i]
		}
	}
	// A share that would change little keeps its current value. Where the sum would then be above the divisible amount, the
	// shares that were kept above their new value are lowered to it.
	sum := Amount(0)
	kept := make([]bool, claimCount)
	targets := slices.Clone(shares)
	for i, claim := range claims {
		change := shares[i] - claim.CurrentShare
		if claim.CurrentShare > 0 && max(change, -change) <= claim.CurrentShare/marginDivisor &&
			(claim.CurrentShare >= needs[i] || change <= 0) {
			shares[i] = claim.CurrentShare
			kept[i] = true
		}
		sum += shares[i]
	}
	for i := range shares {
		if sum > divisible && kept[i] && shares[i] > targets[i] {
			sum -= shares[i] - targets[i]
			shares[i] = targets[i]
		}
	}
	return shares
}

// distribute distributes an amount over shares by adding to them, max-min fair by weight; no share goes above its limit, and
// what no share can take is left over. All amounts are whole thousandths; those that remain after rounding go to the first
// shares that are below their limits.
func distribute(shares, limits []Amount, weights []int64, amount Amount) {
	unfilled := make([]int, 0, len(limits))
	for i, limit := range limits {
		if limit > 0 {
			unfilled = append(unfilled, i)
		}
	}
	for amount > 0 && len(unfilled) > 0 {
		weightSum := int64(0)
		for _, i := range unfilled {
			weightSum += weights[i]
		}
		// Shares that reach their limit within their portion of the amount are filled; the rest is divided again among the
		// others.
		var remaining []int
		given := Amount(0)
		for _, i := range unfilled {
			if missing := limits[i] - shares[i]; missing <= weightedPortion(amount, weights[i], weightSum) {
				shares[i] += missing
				given += missing
			} else {
				remaining = append(remaining, i)
			}
		}
		if given > 0 || len(remaining) < len(unfilled) {
			amount -= given
			unfilled = remaining
			continue
		}
		for _, i := range unfilled {
			portion := weightedPortion(amount, weights[i], weightSum)
			shares[i] += portion
			given += portion
		}
		amount -= given
		// Rounding down leaves some thousandths undistributed.
		for _, i := range unfilled {
			if amount == 0 {
				break
			}
			if shares[i] < limits[i] {
				shares[i]++
				amount--
			}
		}
		return
	}
}

// weightedPortion returns amount x weight / weightSum, rounded down to whole thousandths. It does not overflow, as amounts
// are below 2^50 and weights below 2^17.
func weightedPortion(amount Amount, weight, weightSum int64) Amount {
	return amount/weightSum*weight + amount%weightSum*weight/weightSum
}
