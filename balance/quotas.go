package balance

// This file decides which searches are within their dealer's quota. A search beyond it is taken in at a lower
// utility.

const (
	// savedQuotaTime is the time in seconds for which a dealer's unused quota adds up: at most the searches of so much
	// time are saved up, or minSavedSearches if that is more.
	savedQuotaTime = 2.0
	// minSavedSearches is the number of searches that any dealer may save up from unused quota at this broker, however
	// small its quota.
	minSavedSearches = 3.0
)

// Allowance is this broker's portion of what the settings configure for all brokers together, for fleets that divide it
// unevenly. It holds until the next call of SetAllowance or ApplySettings.
type Allowance struct {
	// Quotas are this broker's portions of the dealers' quotas, in searches per second, by dealer. Dealers beyond its
	// end have equal portions.
	Quotas []float64
	// ColdNodeShare is this broker's share of what all brokers together may send to cold nodes, above 0 and at most 1;
	// 0 stands for an equal share.
	ColdNodeShare float64
}

// SetAllowance sets what this broker may use of the limits that all brokers share: its portion of each dealer's quota
// of searches, and its share of what may be sent to cold nodes. nil stands for equal portions, by the configured number
// of brokers. If a dealer had saved up more searches than a smaller quota allows (savedQuotaTime, minSavedSearches),
// the excess is lost.
func (b *Broker) SetAllowance(allowance *Allowance) {
	for dealer, fleetQuota := range b.fleetQuotas {
		b.quotaTokens[dealer] = b.quotaBalance(dealer)
		b.quotaTokensAt[dealer] = b.now
		b.quotas[dealer] = fleetQuota / b.configuredBrokers
		if allowance != nil && dealer < len(allowance.Quotas) {
			b.quotas[dealer] = allowance.Quotas[dealer]
		}
	}
	b.effectiveBrokers = b.configuredBrokers
	if allowance != nil && allowance.ColdNodeShare > 0 {
		b.effectiveBrokers = 1 / allowance.ColdNodeShare
	}
}

// applyQuotas divides the configured quotas evenly among the brokers. Each dealer starts with one second's worth of its
// quota at this broker saved up.
func (b *Broker) applyQuotas(settings Settings) {
	b.quotas = nil
	b.quotaTokens = nil
	b.quotaTokensAt = nil
	b.fleetQuotas = settings.Quotas
	for _, fleetQuota := range settings.Quotas {
		b.quotas = append(b.quotas, fleetQuota/float64(settings.Brokers))
		b.quotaTokens = append(b.quotaTokens, fleetQuota/float64(settings.Brokers))
		b.quotaTokensAt = append(b.quotaTokensAt, b.now)
	}
}

// quotaBalance returns the number of searches, not always a whole one, that a dealer may still request now within its
// quota at this broker.
func (b *Broker) quotaBalance(dealer int) float64 {
	return min(b.quotaTokens[dealer]+b.quotas[dealer]*(b.now-b.quotaTokensAt[dealer]),
		max(savedQuotaTime*b.quotas[dealer], minSavedSearches))
}

// chargeQuota counts a search against its dealer's quota. If less than one search of the quota is left, nothing is
// counted; the search's utility is multiplied by Broker.overQuotaUtility instead.
func (b *Broker) chargeQuota(search *Search, dealer int) {
	tokens := b.quotaBalance(dealer) - 1
	if tokens < 0 {
		tokens++
		search.utility *= b.overQuotaUtility
	}
	b.quotaTokens[dealer] = tokens
	b.quotaTokensAt[dealer] = b.now
}
