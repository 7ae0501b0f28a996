package budget

import "math"

const (
	// significantDeviations is how many standard deviations the number of units asked for since the last call of TakeDemand
	// must differ from the number that the moving average usualDemand predicts, to be taken for a change of the load rather
	// than for noise. After such a change usualDemand is the new demand alone.
	significantDeviations = 2.5

	// smoothingWeight is the weight, from 0 to 1, that the demand since the last call of TakeDemand has in the moving average
	// usualDemand, if it differs from that average by so little that the difference is taken for noise (see
	// significantDeviations).
	smoothingWeight = 0.25

	// minDemandPeriod is the shortest time, in seconds, by which TakeDemand divides the units asked for to get a demand per
	// second, even if its last call was less long ago.
	minDemandPeriod = 1e-3

	// maxStockRefusals is the largest number of refused units of a stock that TakeDemand returns; a larger one counts as this.
	maxStockRefusals = 1 << 20
)

// Allowance is one broker's side of one budget: what it may use now. All times are seconds of the broker's own clock. It is
// not safe for concurrent use.
type Allowance struct {
	// spec is the definition of the budget for the whole fleet, as last set by NewAllowance or SetSpec.
	spec Spec

	// maxDrift is how far the rate of a broker's clock may be from 1, as a fraction; refill makes up for a fast clock by it.
	maxDrift float64

	// share is the amount, in thousandths, that the broker may use beyond the floor, as the council granted it last; 0 once it
	// has ended.
	share Amount

	// shareEnd is the time, in seconds of the broker's clock, at which share ends unless it is renewed.
	shareEnd float64

	// bucketLevel is, for a rate, the number of units that were in the broker's token bucket at the time refilledAt.
	bucketLevel float64

	// refilledAt is the time, in seconds of the broker's clock, up to which the token bucket of a rate has been refilled.
	refilledAt float64

	// held is, for a stock, how many units the broker holds now.
	held int64

	// used is the number of units of a rate that Spend took since demandSince.
	used int64

	// refused is the number of units that Spend or Hold refused since demandSince.
	refused int64

	// demanded is the number of units of a rate, used or refused, that callers which do not call Spend have reported with
	// RecordDemand since demandSince.
	demanded int64

	// usualDemand is the moving average of the units of a rate that were asked for, used or refused, in units per second. Each
	// call of TakeDemand updates it by the demand since the call before.
	usualDemand float64

	// demandSince is the time, in seconds of the broker's clock, of the last call of TakeDemand, or of NewAllowance before the
	// first.
	demandSince float64

	// peakHeld is, for a stock, the largest number of units that the broker held at any time since demandSince.
	peakHeld int64
}

// NewAllowance returns the allowance of a broker that starts at the time now, without a share. Its token bucket is empty,
// because an earlier process of the broker may have spent what was in it. maxDrift is how far a clock's rate may be from 1, as a
// fraction.
func NewAllowance(spec Spec, maxDrift, now float64) *Allowance {
	return &Allowance{spec: spec, maxDrift: maxDrift, refilledAt: now, demandSince: now}
}

// SetSpec replaces the budget's definition by spec at the time now. For a rate, units in the token bucket beyond its new
// size are lost.
func (a *Allowance) SetSpec(now float64, spec Spec) {
	a.advance(now)
	a.spec = spec
	a.bucketLevel = min(a.bucketLevel, a.bucketSize())
}

// SetShare sets, at the time now, the share (thousandths) that the council has given the broker beyond its floor, and the
// time end at which the share ends unless it is renewed. With a smaller share the token bucket of a rate becomes smaller,
// and units beyond its new size are lost; with a larger one it keeps what it has.
func (a *Allowance) SetShare(now float64, share Amount, end float64) {
	a.advance(now)
	a.share = max(share, 0)
	a.shareEnd = end
	a.bucketLevel = min(a.bucketLevel, a.bucketSize())
}

// bucketSize returns the size, in units, of the token bucket of a rate with the broker's present share.
func (a *Allowance) bucketSize() float64 { return a.spec.bucketSizeFor(a.share) }

// advance updates the allowance to the time now: the token bucket of a rate is refilled, and a share that has ended is
// dropped, with the units that were saved up from it.
func (a *Allowance) advance(now float64) {
	if a.share > 0 && now >= a.shareEnd {
		a.refill(a.shareEnd)
		a.share = 0
		a.bucketLevel = min(a.bucketLevel, a.bucketSize())
	}
	a.refill(now)
}

// refill fills the token bucket of a rate for the time from refilledAt until now, at a rate lowered by maxDrift, so that a
// broker whose clock runs fast gets no more units than one with a true clock.
func (a *Allowance) refill(now float64) {
	if now <= a.refilledAt {
		return
	}
	a.bucketLevel = min(a.bucketLevel+float64(a.spec.Floor+a.share)/float64(Unit)*(now-a.refilledAt)*(1-a.maxDrift), a.bucketSize())
	a.refilledAt = now
}

// Spend takes one unit of a rate at the time now. It returns false, and counts a refusal, if the broker's token bucket has
// less than one unit.
func (a *Allowance) Spend(now float64) bool {
	a.advance(now)
	if a.bucketLevel < 1 {
		a.refused++
		return false
	}
	a.bucketLevel--
	a.used++
	return true
}

// RecordDemand counts units of a rate that were asked for, used or refused, for a caller that limits itself by Share instead
// of calling Spend: TakeDemand counts those within floor and share as used, the rest as refused.
func (a *Allowance) RecordDemand(units int64) { a.demanded += units }

// Share returns what the broker may use at the time now, in thousandths: its floor, and the share that the council has given
// beyond it.
func (a *Allowance) Share(now float64) (floor, share Amount) {
	a.advance(now)
	return a.spec.Floor, a.share
}

// maxHeld returns, for a stock, how many whole units the broker may hold with its floor and its present share.
func (a *Allowance) maxHeld() int64 { return (a.spec.Floor + a.share) / Unit }

// Hold takes one unit of a stock at the time now, until Release gives it back. It returns false, and counts a refusal, if
// the broker holds all that it may.
func (a *Allowance) Hold(now float64) bool {
	a.advance(now)
	if a.held >= a.maxHeld() {
		a.refused++
		return false
	}
	a.held++
	a.peakHeld = max(a.peakHeld, a.held)
	return true
}

// Release gives back one unit that Hold took of a stock. It does nothing if none is held.
func (a *Allowance) Release() { a.held = max(a.held-1, 0) }

// SetHeld sets how many units of a stock the broker holds now, for a caller that limits itself by Share instead of calling
// Hold and Release.
func (a *Allowance) SetHeld(units int64) {
	a.held = units
	a.peakHeld = max(a.peakHeld, units)
}

// Excess returns how many units of a stock are held beyond what the broker may hold at the time now: they have to be
// released, and a cut of the share may be acknowledged only then. It is 0 for a rate.
func (a *Allowance) Excess(now float64) int64 {
	a.advance(now)
	if a.spec.Kind != Stock {
		return 0
	}
	return max(a.held-a.maxHeld(), 0)
}

// TakeDemand returns, in thousandths, what the broker may use with its present share (available), and what it used and
// refused since the last call, and starts a new period at the time now. For a stock, used is the largest number of units that
// were held. For a rate, amounts are per second: of usualDemand, which does not follow the noise of small counts, what is
// within available is returned as used, and the rest as refused.
func (a *Allowance) TakeDemand(now float64) (available, used, refused Amount) {
	available = a.spec.Floor + a.share
	period := max(now-a.demandSince, minDemandPeriod)
	usedUnits := a.used
	refusedUnits := a.refused + a.demanded
	a.used = 0
	a.refused = 0
	a.demanded = 0
	a.demandSince = now
	if a.spec.Kind == Stock {
		peakHeld := a.peakHeld
		a.peakHeld = a.held
		return available, peakHeld * Unit, min(refusedUnits, maxStockRefusals) * Unit
	}
	count := float64(usedUnits + refusedUnits)
	usualCount := a.usualDemand * period
	if math.Abs(count-usualCount) > significantDeviations*math.Sqrt(max(usualCount, 1))+1 {
		a.usualDemand = count / period
	} else {
		a.usualDemand += smoothingWeight * (count/period - a.usualDemand)
	}
	demand := Amount(math.Min(a.usualDemand*float64(Unit), maxAmount))
	used = min(demand, available)
	return available, used, demand - used
}
