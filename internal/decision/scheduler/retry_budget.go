package scheduler

// retryBudget limits the attempts after the first of each part. Within a sliding window it allows a fixed number and
// a number proportional to the queries and parts that arrived. A window of 0 means no limit.
type retryBudget struct {
	settings RetryBudgetSettings
	retries  eventWindow
}

// allows reports whether one more retry is within the budget. Timer ticks may round times, so it counts retries over
// a slightly longer window and arrivals over a slightly shorter one.
func (b *retryBudget) allows(now float64, arrivals eventWindow) bool {
	window := b.settings.Window
	if window <= 0 {
		return true
	}
	used := b.retries.countSince(now - window - windowRoundingMs)
	earned := arrivals.countSince(now - window + windowRoundingMs)
	return used+1 <= b.settings.Spare+b.settings.Ratio*earned
}

// spend counts one retry against the budget.
func (b *retryBudget) spend(now float64) { b.retries.add(now, b.settings.Window) }
