package scheduler

// retryBudget bounds the attempts beyond the first of each part: a fixed number plus a share of the queries and
// parts taken within a sliding window. A window of 0 means no bound.
type retryBudget struct {
	settings RetryBudgetSettings
	retries  eventWindow
}

// allows reports whether one more retry stays within the budget. Counts err on the safe side by the rounding of a
// tick at both ends of the window.
func (b *retryBudget) allows(now float64, arrivals eventWindow) bool {
	window := b.settings.Window
	if window <= 0 {
		return true
	}
	used := b.retries.countSince(now - window - windowRoundingMs)
	earned := arrivals.countSince(now - window + windowRoundingMs)
	return used+1 <= b.settings.Spare+b.settings.Ratio*earned
}

func (b *retryBudget) spend(now float64) { b.retries.add(now, b.settings.Window) }
