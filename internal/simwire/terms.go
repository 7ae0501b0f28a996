package simwire

import (
	"encoding/json"
	"fmt"

	"brackenfront/balance"
)

// settings is the part of the start-up object that is used; other keys are skipped.
type settings struct {
	Lanes []struct {
		Name, Effect           string
		Target, GiveUp, Window float64
		Worth, LateWorth       float64
	}
	Tenants []struct {
		Name      string
		QuotaPerS float64
	}
	FamilyInfo struct {
		PerCall, Places, Reach, Slices       int
		ClassNeed, MinShare, IncompleteWorth []float64
		FetchParts                           []int
	}
	PolicyLimits struct {
		MostTries                       int
		MayCancel, MayProbe, RetryAfter bool
		MaxRetryAfter                   float64
	}
	Rules struct {
		Cold, ColdFrom, Fall, FallMultiple  float64
		CountedOver, FurtherRatio, MinExtra float64
	}
	Discovery, MyZone, WorthBy string
	Instances                  int
	OverShareWorth, Tick       float64
}

const ms = 1e-3

func parseTerms(raw json.RawMessage, seed uint64) (balance.Terms, *settings, error) {
	s := new(settings)
	if err := json.Unmarshal(raw, s); err != nil {
		return balance.Terms{}, nil, fmt.Errorf("BOOT: field config: %w", err)
	}
	f, l, r := &s.FamilyInfo, &s.PolicyLimits, &s.Rules
	n := len(s.Lanes)
	if len(f.ClassNeed) != n || len(f.MinShare) != n || len(f.IncompleteWorth) != n || len(f.FetchParts) != n {
		return balance.Terms{}, nil, fmt.Errorf("BOOT: field config: familyInfo: expected %d values each", n)
	}
	t := balance.Terms{Seed: seed, Brokers: s.Instances, Tick: s.Tick * ms,
		OverShare: s.OverShareWorth, ByWork: s.WorthBy == "work", Cells: f.Places, Reach: f.Reach, Shards: f.Slices,
		PerCall: f.PerCall, Tries: l.MostTries, MayCancel: l.MayCancel, MayProbe: l.MayProbe,
		Asked: s.Discovery == "on_request", Cold: r.Cold * ms, ColdFrom: r.ColdFrom, Fall: r.Fall * ms,
		FallMultiple: r.FallMultiple, Extra: r.MinExtra, ExtraShare: r.FurtherRatio, Over: r.CountedOver * ms}
	if l.RetryAfter {
		t.Advice = l.MaxRetryAfter * ms
	}
	for i, c := range s.Lanes {
		effect, ok := map[string]balance.Effect{"read_like": balance.Idempotent,
			"idempotency_key": balance.Tokened, "non_idempotent": balance.NonIdempotent}[c.Effect]
		if !ok {
			return t, nil, fmt.Errorf("BOOT: field config: lanes[%d].effect: expected read_like, idempotency_key"+
				" or non_idempotent, got %q", i, c.Effect)
		}
		t.Types = append(t.Types, balance.QueryType{Target: c.Target * ms, Timeout: c.GiveUp * ms,
			Window: c.Window * ms, Value: c.Worth, LateValue: c.LateWorth, Effect: effect, Need: f.ClassNeed[i],
			Least: f.MinShare[i], Partial: f.IncompleteWorth[i], Fetch: f.FetchParts[i]})
	}
	for _, d := range s.Tenants {
		t.Quotas = append(t.Quotas, d.QuotaPerS)
	}
	return t, s, nil
}
