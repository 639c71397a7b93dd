package scheduler

import "sort"

// windowRoundingMs is how much longer than the window events are kept, as a timer tick may round their times.
const windowRoundingMs = 1

// eventWindow holds the times of recent events in ascending order.
type eventWindow []float64

// add records an event at now and drops those older than spanMs.
func (w *eventWindow) add(now, spanMs float64) {
	first := sort.SearchFloat64s(*w, now-spanMs-windowRoundingMs)
	*w = append((*w)[first:], now)
}

// countSince returns the number of events at or after the given time.
func (w eventWindow) countSince(from float64) float64 {
	return float64(len(w) - sort.SearchFloat64s(w, from))
}
