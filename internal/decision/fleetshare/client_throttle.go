package fleetshare

import "math"

const (
	// logShareRise is how much the logarithm of the admitted share rises per mean part that is accepted.
	// In equilibrium logShareRise/(logShareRise+logShareFall) of the work, a fifth, is rejected.
	logShareRise = 0.02
	// logShareFall is how much the logarithm of the admitted share falls per mean part that is rejected.
	logShareFall = 0.08
	// minAdmittedShare is always admitted, as only new parts show that the fleet has capacity again.
	minAdmittedShare = 0.1
	// maxSampleWork limits the work that a single part counts for, in mean parts.
	maxSampleWork = 64.0
	// fullRejectionAtNoPriority is the rejected share from which every query of priority 0 is rejected. For a query
	// of priority p it is p higher.
	fullRejectionAtNoPriority = 0.5
)

// ClientThrottle is adaptive client-side throttling: it rejects queries at the broker, so that what all brokers send
// together stays near what the fleet accepts.
//
// The parts of each broker are a sample: the fleet accepts the same share s of what each broker sends. On average,
// each part changes the logarithm of the admitted share by logShareRise*s - logShareFall*(1-s). The equilibrium is
// therefore at s = logShareFall/(logShareRise+logShareFall), unless everything is admitted. It depends neither on the
// number of brokers nor on how traffic is split among them, so in equilibrium all brokers together send 1.25 times
// what is accepted, in every fleet.
//
// For a short time after the fleet has recovered, the throttle may reject a few queries that the fleet would serve.
type ClientThrottle struct {
	weight float64 // see largeFleetWeight
	// negLogShare is minus the logarithm of the admitted share.
	negLogShare float64
}

// NewClientThrottle returns the throttle of one broker in a fleet of brokerCount.
func NewClientThrottle(brokerCount int) ClientThrottle {
	return ClientThrottle{weight: largeFleetWeight(brokerCount)}
}

// RecordResult records whether a backend accepted or rejected a part with the given work, in mean parts. The caller
// must not record parts that timed out or were cancelled: stalled backends and broken networks cause those too.
func (t *ClientThrottle) RecordResult(work float64, accepted bool) {
	step := logShareFall
	if accepted {
		step = -logShareRise
	}
	next := t.negLogShare + step*math.Min(work, maxSampleWork)
	t.negLogShare = math.Min(math.Max(0, next), -math.Log(minAdmittedShare))
}

// RejectedShare returns the share of queries that is not admitted, in [0, 0.9].
func (t *ClientThrottle) RejectedShare() float64 {
	return t.weight * (1 - math.Exp(-t.negLogShare))
}

// ShouldReject reports whether to reject a query with a priority in [0, 1]. Queries of lower priority are more likely
// to be rejected. random returns numbers in [0, 1). It is called only while RejectedShare is above 0.
func (t *ClientThrottle) ShouldReject(priority float64, random func() float64) bool {
	rejectedShare := t.RejectedShare()
	return rejectedShare > 0 && random()*(fullRejectionAtNoPriority+priority) < rejectedShare
}
