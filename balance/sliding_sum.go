package balance

// slidingSum sums up amounts over a sliding window of time: it forgets those from before the window's start, which each
// call of sumSince gives. The zero value is an empty sum.
type slidingSum struct {
	// times are the times of the amounts, in seconds, in ascending order.
	times []float64
	// amounts are the amounts that were added, one for each of times, in the caller's unit.
	amounts []float64
	// start is the index in times and amounts of the first entry that is not forgotten.
	start int
	// total is the sum of the amounts that are not forgotten, those from the index start on.
	total float64
}

// add adds an amount at the time now, in seconds, which must not be before that of the last call.
func (s *slidingSum) add(now, amount float64) {
	if count := len(s.times); count > s.start && s.times[count-1] == now {
		s.amounts[count-1] += amount
		s.total += amount
		return
	}
	if s.start > 0 && len(s.times) == cap(s.times) {
		count := copy(s.times, s.times[s.start:])
		copy(s.amounts, s.amounts[s.start:])
		s.times = s.times[:count]
		s.amounts = s.amounts[:count]
		s.start = 0
	}
	s.times = append(s.times, now)
	s.amounts = append(s.amounts, amount)
	s.total += amount
}

// sumSince forgets all amounts before the time from, in seconds, and returns the sum of the others. A later call with
// an earlier time does not bring them back.
func (s *slidingSum) sumSince(from float64) float64 {
	for s.start < len(s.times) && s.times[s.start] < from {
		s.total -= s.amounts[s.start]
		s.start++
	}
	if s.start == len(s.times) {
		s.times = s.times[:0]
		s.amounts = s.amounts[:0]
		s.start = 0
		s.total = 0
	}
	return s.total
}
