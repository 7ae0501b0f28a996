package routing

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
	"time"

	"brackenfront/internal/protocol"
)

// fitsStep reports whether a value can be combined with those that arrived before it in the current step: all are texts, or
// all are tables of one schema, as no client could read an answer that mixes them. The first value of a step decides on the
// kind and the schema, which fitsStep records in the search.
func (s *activeSearch) fitsStep(result protocol.AttemptResult) bool {
	if result.Table == nil {
		s.textValues = s.textValues || s.schema == nil
		return s.textValues
	}
	if s.schema == nil && !s.textValues {
		s.schema = result.Table.Schema.Header
	}
	return !s.textValues && bytes.Equal(s.schema, result.Table.Schema.Header)
}

// stepValues returns the values of the current step, in the order of its parts; parts without a value are left out.
func (s *activeSearch) stepValues() (values []protocol.PartValue) {
	for _, part := range s.parts[s.stepBegin:] {
		if part.hasValue {
			values = append(values, protocol.PartValue{Shard: part.shard, Value: part.result.Value, Table: part.result.Table})
		}
	}
	return values
}

// planSecondStep returns the shards that the second step asks, which are the fetchParts shards with the highest scores in
// the first step, or fewer, and the extra fields of its part requests: ",from=" with the shards that returned a value in the
// first step, joined by plus signs, and ",whole=" with 1 if the first step is complete, otherwise 0.
func (s *activeSearch) planSecondStep(fetchParts int, complete bool) (shards []int, fields string) {
	var withValue []*activePart
	for _, part := range s.parts[s.stepBegin:] {
		if part.hasValue {
			withValue = append(withValue, part)
		}
	}
	fields = ",from="
	for i, part := range withValue {
		if i > 0 {
			fields += "+"
		}
		fields += strconv.Itoa(part.shard)
	}
	fields += ",whole="
	if complete {
		fields += "1"
	} else {
		fields += "0"
	}
	slices.SortStableFunc(withValue, func(a, b *activePart) int { return cmp.Compare(b.result.Score, a.result.Score) })
	for _, part := range withValue[:min(fetchParts, len(withValue))] {
		shards = append(shards, part.shard)
	}
	return shards, fields
}

// addSecondStepParts adds a part for each of the given shards to a search whose second step begins, all with the same
// weight. It does nothing if the search has ended.
func (r *Router) addSecondStepParts(search *activeSearch, shards []int) {
	if search.ended {
		return
	}
	for _, shard := range shards {
		if search.brokerSearch.AddPart(shard, 1/float64(len(shards))) >= 0 {
			search.addPart(shard)
			r.openCount++
		}
	}
}

// setFinalAnswer ends a search and sets its final answer, which the next call of sendFinalAnswers passes on.
func (r *Router) setFinalAnswer(search *activeSearch, answer protocol.FinalAnswer) {
	r.endSearch(search, len(answer.Values) > 0)
	search.answer.FinalAnswer = answer
	r.searchesToAnswer = append(r.searchesToAnswer, search)
}

// sendFinalAnswers passes the final answers that setFinalAnswer has set to the callers of Search. It is called once a call to
// the broker has returned, as the attempts in flight are given up only by the end of that call. It sets awaitWrites, which
// makes Search hold the answer back, if an attempt could still be sent after the answer: one in a write in progress or, if
// nodes may not be notified that a part is given up, one that may still wait for its connection.
func (r *Router) sendFinalAnswers() {
	if len(r.searchesToAnswer) == 0 {
		return
	}
	decidedAt := time.Now()
	for i, search := range r.searchesToAnswer {
		search.answer.acceptedAt = search.acceptedAt
		search.answer.decidedAt = decidedAt
		search.answer.awaitWrites = search.permission.HeldByWrite() || !r.deployment.Settings.CanCancel &&
			slices.ContainsFunc(search.parts, func(part *activePart) bool { return part.attempt != nil })
		search.answers <- search.answer
		r.searchesToAnswer[i] = nil
	}
	r.searchesToAnswer = r.searchesToAnswer[:0]
}
