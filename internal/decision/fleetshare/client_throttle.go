package fleetshare

import "math"

const (
	// throttleRise and throttleFall are the changes of the logarithm of the admitted share for each part accepted
	// and rejected. At rest throttleRise/(throttleRise+throttleFall) of the parts, a fifth, are rejected.
	throttleRise = 0.02
	throttleFall = 0.08
	// minAdmittedShare is admitted at least, as only new parts show that the fleet has capacity again.
	minAdmittedShare = 0.1
	// maxSampleWork is the work that one part counts for at most.
	maxSampleWork = 64.0
	// certainAtNoPriority is the rejected share from which every query of no priority is rejected; each unit of
	// priority adds 1 to it.
	certainAtNoPriority = 0.5
)

// ClientThrottle is adaptive throttling at the client's side: it rejects queries at the broker, so that what all
// brokers send stays near what the fleet accepts.
//
// Each broker's parts are a sample of the fleet: the same share s of what all of them send is accepted. The logarithm
// of the admitted share moves by throttleRise*s - throttleFall*(1-s) with each part, so it rests only where
// s = throttleFall/(throttleRise+throttleFall), or where everything is admitted. Neither the number of brokers nor
// the split of traffic among them enters, so the sum of what is sent rests at 1.25 times what is accepted for any of
// both.
//
// It may reject a few queries that a fleet which has just recovered would serve.
type ClientThrottle struct {
	weight float64 // see largeFleetWeight
	// reduction is minus the logarithm of the admitted share.
	reduction float64
}

// NewClientThrottle makes the throttle of one of so many brokers.
func NewClientThrottle(brokers int) ClientThrottle {
	return ClientThrottle{weight: largeFleetWeight(brokers)}
}

// RecordResult records that a part of so much work, in mean parts, was accepted or rejected by a backend. Parts that
// timed out or were cancelled are not to be recorded: stalled backends and broken networks look like that too.
func (t *ClientThrottle) RecordResult(work float64, accepted bool) {
	step := throttleFall
	if accepted {
		step = -throttleRise
	}
	moved := t.reduction + step*math.Min(work, maxSampleWork)
	t.reduction = math.Min(math.Max(0, moved), -math.Log(minAdmittedShare))
}

// RejectedShare is the share of queries that is not admitted, in [0, 0.9].
func (t *ClientThrottle) RejectedShare() float64 {
	return t.weight * (1 - math.Exp(-t.reduction))
}

// ShouldReject reports whether to reject a query of a priority in [0, 1], lowest priority first. random returns
// numbers in [0, 1) and is called only where something has to be rejected.
func (t *ClientThrottle) ShouldReject(priority float64, random func() float64) bool {
	rejected := t.RejectedShare()
	return rejected > 0 && random()*(certainAtNoPriority+priority) < rejected
}
