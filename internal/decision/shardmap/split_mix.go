package shardmap

// splitMix64 is the SplitMix64 generator of Steele, Lea and Flood: the same seed gives the same numbers.
type splitMix64 struct{ state uint64 }

// uniform is the next number, from 0 up to 1.
func (g *splitMix64) uniform() float64 {
	g.state += 0x9e3779b97f4a7c15
	bits := g.state
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return float64((bits^bits>>31)>>11) / (1 << 53)
}
