// Package random provides a small pseudo-random number generator (multiply-with-carry). The same seed gives the same
// numbers in the simulator, in the program and in implementations in other languages.
package random

// Source generates pseudo-random numbers with a multiply-with-carry generator. Call Seed before the first Float64. A Source is
// not safe for concurrent use.
type Source struct {
	// value is the last 32-bit output of the generator.
	value uint64
	// carry is the upper half of the generator's last product, which is added to the next product.
	carry uint64
}

// multiplier is the constant by which the multiply-with-carry generator multiplies its last output to get the next one.
// With it the sequence repeats only after about 2^63 numbers, whatever the seed.
const multiplier = 4294957665

// warmUpDraws is how many numbers Seed draws and discards, because the first numbers after similar seeds are similar.
const warmUpDraws = 8

// Seed starts the sequence of numbers that belongs to this seed; the same seed gives the same sequence each time. Bits 32
// and 63 of the seed have no effect.
func (s *Source) Seed(seed uint64) {
	s.value = seed & 0xffffffff
	// The carry must be below multiplier, and not 0: with a value and a carry of 0 all numbers would be 0.
	s.carry = seed>>32&0x7fffffff | 1
	for range warmUpDraws {
		s.Float64()
	}
}

// Float64 returns the next number, from 0 up to but not including 1, a multiple of 2^-32.
func (s *Source) Float64() float64 {
	product := multiplier*s.value + s.carry
	s.value = product & 0xffffffff
	s.carry = product >> 32
	return float64(s.value) / (1 << 32)
}
