package scheduler

// randomSource is the splitmix64 generator. Decisions draw from it in a fixed order, so that a run can be replayed
// from its seed.
type randomSource struct{ state uint64 }

// next returns a number in [0, 1).
func (r *randomSource) next() float64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
