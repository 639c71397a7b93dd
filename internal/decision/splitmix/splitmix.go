// Package splitmix implements the SplitMix64 pseudorandom number generator of Steele, Lea and Flood. The same seed
// gives the same numbers, so that decisions that depend on them can be replayed.
package splitmix

// Source is a generator. Its zero value is the generator of seed 0. It is not safe for concurrent use.
type Source struct{ state uint64 }

// New returns the generator of a seed.
func New(seed uint64) Source { return Source{state: seed} }

// Float64 returns the next number, in [0, 1).
func (s *Source) Float64() float64 {
	s.state += 0x9e3779b97f4a7c15
	bits := s.state
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return float64((bits^bits>>31)>>11) / (1 << 53)
}
