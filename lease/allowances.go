package lease

import (
	"slices"

	"brackenfront/budget"
)

// Allowances is a process's side of the budgets of the fleet: it computes from the shares that the session received what the
// process may use of each budget now, and reports the use to the council. The caller runs Update after every answer of the
// council and whenever the time that the session's NextDue returns has come. No method blocks. It is not safe for concurrent
// use. Times are seconds of the process's own clock.
type Allowances struct {
	// session is the session through which shares are received and the use is reported.
	session *Session

	// maxDrift is the council's Config.MaxClockDrift: how far the rate of a clock may be from 1, as a fraction.
	maxDrift float64

	// byName has the allowances of the budgets that were opened, by the budget's name.
	byName map[string]*sessionAllowance

	// names are the names of the budgets that were opened, sorted.
	names []string

	// reportedAt is the time, in seconds of the process's clock, at which Update last reported the use of all budgets; 0 if it
	// has not yet.
	reportedAt float64
}

// sessionAllowance is the allowance of one budget, with the share that the session received for it.
type sessionAllowance struct {
	// Allowance computes how much of the budget the process may use now, and counts what it uses.
	*budget.Allowance

	// ownFloor is the floor, in thousandths, of the budget's definition in the process's own settings.
	ownFloor budget.Amount

	// latest is the share of the budget that was last received from the council; zero for none, or once the session is lost.
	latest Share

	// ackedNumber is the Share.Number of the last share of this budget that was acknowledged to the council in the present
	// session; 0 for none.
	ackedNumber uint64

	// cutAt is the time, in seconds of the process's clock, at which this process last received a cut of its share: a cut is
	// acknowledged only the budget's ReleaseDelay later.
	cutAt float64
}

// NewAllowances returns the allowances of a session, with no budget open; maxDrift is the MaxClockDrift of its council's
// configuration: how far the rate of a clock may be from 1, as a fraction.
func NewAllowances(session *Session, maxDrift float64) *Allowances {
	return &Allowances{session: session, maxDrift: maxDrift, byName: map[string]*sessionAllowance{}}
}

// Open starts the use of the budget with this name at the time now; own is the budget's definition in the process's own
// settings. Until the council has given a share, and without the council, the process may use own.Floor alone. For a budget
// that is open already it sets that floor anew.
func (a *Allowances) Open(now float64, name string, own budget.Spec) {
	if allowance := a.byName[name]; allowance != nil {
		allowance.ownFloor = own.Floor
		if allowance.latest.Number == 0 {
			allowance.SetSpec(now, own)
		}
		return
	}
	a.byName[name] = &sessionAllowance{Allowance: budget.NewAllowance(own, a.maxDrift, now), ownFloor: own.Floor}
	a.names = append(a.names, name)
	slices.Sort(a.names)
	a.session.ReportUsage(name, 0, 0, 0, true)
}

// Update applies the shares that the session has received, acknowledges them, and reports to the council what was used, at
// the time now. A share is acknowledged once this process uses no more than it and the budget's ReleaseDelay has passed
// since the last cut.
func (a *Allowances) Update(now float64) {
	for _, share := range a.session.TakeShares() {
		// The zero Share says that the session is lost.
		if share.Name == "" {
			for _, name := range a.names {
				allowance := a.byName[name]
				allowance.latest = Share{}
				allowance.ackedNumber = 0
				allowance.SetShare(now, 0, now)
				a.session.ReportUsage(name, 0, 0, 0, true)
			}
			continue
		}
		if allowance := a.byName[share.Name]; allowance != nil {
			if share.Amount < allowance.latest.Amount {
				allowance.cutAt = now
			}
			allowance.latest = share
			// A floor of the process's own settings beyond the one that the council sets aside may not be used.
			share.Spec.Floor = min(share.Spec.Floor, allowance.ownFloor)
			allowance.SetSpec(now, share.Spec)
		}
	}
	validUntil := a.session.ValidUntil()
	for _, name := range a.names {
		allowance := a.byName[name]
		allowance.SetShare(now, allowance.latest.Amount, validUntil)
		if allowance.latest.Number > allowance.ackedNumber && allowance.Excess(now) == 0 &&
			now >= allowance.cutAt+allowance.latest.Spec.ReleaseDelay*(1+a.maxDrift) {
			allowance.ackedNumber = allowance.latest.Number
			a.session.AcknowledgeShare(name, allowance.ackedNumber)
		}
	}
	if interval := a.reportInterval(); now >= a.reportedAt+interval {
		a.reportedAt = now
		for _, name := range a.names {
			available, used, refused := a.byName[name].TakeDemand(now)
			a.session.ReportUsage(name, available, used, refused, false)
		}
	}
}

// reportInterval returns the time in seconds between two reports of use: that between two renewals of the session, or
// defaultInterval while the council's configuration is not known.
func (a *Allowances) reportInterval() float64 {
	if a.session.config.TTL == 0 {
		return defaultInterval
	}
	return a.session.config.HoldTimeout() / renewalsPerTimeout
}

// Spend takes one unit of the rate with this name at the time now. It returns false if none is left now, or the budget was
// never opened.
func (a *Allowances) Spend(now float64, name string) bool {
	allowance := a.byName[name]
	return allowance != nil && allowance.Spend(now)
}

// Hold takes one unit of a stock at the time now, until Release gives it back. It returns false if the process holds all
// that it may, or the budget with this name was never opened.
func (a *Allowances) Hold(now float64, name string) bool {
	allowance := a.byName[name]
	return allowance != nil && allowance.Hold(now)
}

// Release gives back one unit that Hold took of the stock with this name. It does nothing if none is held.
func (a *Allowances) Release(name string) {
	if allowance := a.byName[name]; allowance != nil {
		allowance.Release()
	}
}

// RecordDemand counts units of a rate budget that were asked for, used or refused, for a caller that limits itself by Share
// instead of calling Spend. It does nothing for a budget that was never opened.
func (a *Allowances) RecordDemand(name string, units int64) {
	if allowance := a.byName[name]; allowance != nil {
		allowance.RecordDemand(units)
	}
}

// SetHeld sets how many units of a stock the process holds now, for a caller that limits itself by Share instead of calling
// Hold and Release. It does nothing for a budget that was never opened.
func (a *Allowances) SetHeld(name string, units int64) {
	if allowance := a.byName[name]; allowance != nil {
		allowance.SetHeld(units)
	}
}

// Excess returns how many units of a stock the process holds beyond what it may hold at the time now, and therefore has to
// give back. It is 0 for a rate, whose units are spent, and for a budget that was never opened.
func (a *Allowances) Excess(now float64, name string) int64 {
	if allowance := a.byName[name]; allowance != nil {
		return allowance.Excess(now)
	}
	return 0
}

// Share returns what may be used of a budget at the time now, in thousandths: the floor, and the share that the council gave
// beyond it. Both are 0 for a budget that was never opened.
func (a *Allowances) Share(now float64, name string) (floor, share budget.Amount) {
	if allowance := a.byName[name]; allowance != nil {
		return allowance.Share(now)
	}
	return 0, 0
}

// Names returns the names of the budgets that were opened, sorted.
func (a *Allowances) Names() []string { return slices.Clone(a.names) }

// Close gives up all shares at the time now, so that only the floors may be used from then on. It has to be called before
// Session.End, which lets the council give the shares to others.
func (a *Allowances) Close(now float64) {
	for _, name := range a.names {
		allowance := a.byName[name]
		allowance.latest = Share{}
		allowance.SetShare(now, 0, now)
	}
}
