package scheduler

import "sort"

// windowRoundingMs keeps events a little longer than the window, as times may be rounded by a timer tick.
const windowRoundingMs = 1

// eventWindow holds the times of recent events, in order.
type eventWindow []float64

// add records an event at now and forgets those older than spanMs.
func (w *eventWindow) add(now, spanMs float64) {
	first := sort.SearchFloat64s(*w, now-spanMs-windowRoundingMs)
	*w = append((*w)[first:], now)
}

// countSince is the number of events at or after a time.
func (w eventWindow) countSince(from float64) float64 {
	return float64(len(w) - sort.SearchFloat64s(w, from))
}
