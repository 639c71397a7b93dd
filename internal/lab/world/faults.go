package world

import (
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/model"
)

// canReach reports whether messages get from one zone to another.
func (f *fleet) canReach(a, b int) bool {
	return f.cutZone < 0 || a == b || a != f.cutZone && b != f.cutZone
}

// injectRandomFault injects a fault drawn at random and schedules the next one. While many backends have a
// fault no further backend gets one, so that most shards keep a working replica.
func (f *fleet) injectRandomFault() {
	s := f.world
	if s.now >= s.endMs {
		return
	}
	s.schedule(s.now+s.e.Faults.Interval*(0.5+s.faultRand.Float64()), f.injectRandomFault)
	kind := s.e.Faults.Kinds[s.faultRand.IntN(len(s.e.Faults.Kinds))]
	target := s.faultRand.IntN(len(f.backends))
	switch kind {
	case "broker", "silent", "link_cut":
		target = s.faultRand.IntN(len(s.brokers))
	case "zone_cut":
		target = s.faultRand.IntN(s.e.Zones)
	}
	f.injectFault(kind, target, s.e.Faults.For.Draw(s.faultRand), false)
}

// injectFault injects a fault into a backend, a zone or a broker. A random fault is skipped when too much has
// failed already; a scripted fault is skipped only if its target cannot have it now.
func (f *fleet) injectFault(kind string, target int, durationMs float64, scripted bool) {
	switch kind {
	case "broker":
		f.crashBroker(target, durationMs, scripted)
	case "silent":
		f.silenceAgent(target, durationMs)
	case "link_cut":
		f.cutLinks(target, durationMs)
	case "zone_cut":
		f.isolateZone(target, durationMs)
	default:
		f.injectBackendFault(kind, f.backends[target], durationMs, scripted)
	}
}

// crashBroker kills a broker and starts it again after at most 2 s. A random crash needs all brokers up, and
// at least two of them.
func (f *fleet) crashBroker(target int, durationMs float64, scripted bool) {
	s := f.world
	b := s.brokers[target]
	if !b.isUp() || !scripted && (len(s.brokers) < 2 ||
		slices.ContainsFunc(s.brokers, func(x broker) bool { return !x.isUp() })) {
		return
	}
	b.kill()
	cached := f.versionAt(s.now - 4000) // the shard map that it restarts with is 4 s old
	s.schedule(s.now+min(durationMs, 2000), func() { b.start(cached) })
}

// silenceAgent stops a broker's discovery agent from responding.
func (f *fleet) silenceAgent(target int, durationMs float64) {
	s := f.world
	// The checker assumes that the broker knows each update that its agent has, so the broker needs time to read it.
	if s.e.PushEndpoints && s.now < f.agentUpdatedAt[target]+agentReadMs {
		s.schedule(f.agentUpdatedAt[target]+agentReadMs, func() { f.silenceAgent(target, durationMs) })
	} else if s.e.PushEndpoints {
		f.agentSilentUntil[target] = max(f.agentSilentUntil[target], s.now+durationMs)
	}
}

// cutLinks cuts a broker's links to all backends.
func (f *fleet) cutLinks(target int, durationMs float64) {
	s := f.world
	f.linksCutUntil[target] = max(f.linksCutUntil[target], s.now+durationMs)
	s.brokers[target].linksChanged()
	s.schedule(s.now+durationMs, func() {
		if s.now >= f.linksCutUntil[target] {
			s.brokers[target].linksChanged()
		}
	})
}

// isolateZone cuts a zone off from the others. It does nothing while another zone is cut off.
func (f *fleet) isolateZone(target int, durationMs float64) {
	s := f.world
	if f.cutZone >= 0 || s.e.Zones < 2 {
		return
	}
	f.cutZone = target
	s.schedule(s.now+durationMs, func() {
		f.cutZone = -1
		for _, n := range f.backends {
			if n.listeners != nil && n.state != scheduler.Removed {
				n.listeners.resetLost()
			}
		}
	})
}

// faultyBackends counts the backends that have a fault.
func (f *fleet) faultyBackends() int {
	faulty := 0
	for _, n := range f.backends {
		if n.hasFault {
			faulty++
		}
	}
	return faulty
}

// injectBackendFault injects a fault into a backend that has none and has not failed under overload. A random
// fault also spares backends that are warming up, and all backends while more than a sixth of them, and more
// than one, have a fault.
func (f *fleet) injectBackendFault(kind string, n *backend, durationMs float64, scripted bool) {
	s := f.world
	if n.hasFault || n.Overloaded ||
		!scripted && (n.IsWarmingUp(s.now) || f.faultyBackends() > max(1, len(f.backends)/6)) {
		return
	}
	n.hasFault = true
	switch kind {
	case "stand":
		n.stallUntil(s.now + durationMs)
	case "vanish":
		n.Fault = model.Hang // it no longer responds, and the endpoint list still has it as ready
		s.schedule(s.now+durationMs, func() { f.stopBackend(n); f.restartBackend(n); n.hasFault = false })
	case "down":
		f.stopBackend(n)
		s.schedule(s.now+durationMs, func() { f.restartBackend(n); n.hasFault = false })
	case "drain":
		f.publish(n, scheduler.Draining)
		wait := s.e.Updates.EndpointListDelay[1] + 1200
		s.schedule(s.now+wait, func() { n.Fault = model.Draining })
		s.schedule(s.now+wait+1500, func() { f.stopBackend(n) })
		s.schedule(s.now+wait+1500+durationMs, func() { f.restartBackend(n); n.hasFault = false })
	default:
		n.Fault = map[string]model.Fault{"hang": model.Hang, "slow": model.Slow, "fail": model.Fail}[kind]
		s.schedule(s.now+durationMs, n.clearFault)
	}
}

// stallUntil stalls the backend every 1 to 3 s, for 200 to 500 ms each time, until the time until.
func (n *backend) stallUntil(until float64) {
	s := n.world
	if s.now >= until {
		n.hasFault = false
		return
	}
	n.stalledUntil = max(n.stalledUntil, s.now+200+300*s.faultRand.Float64())
	s.schedule(s.now+1000+2000*s.faultRand.Float64(), func() { n.stallUntil(until) })
}

// clearFault ends the fault of the backend. A process that has ended stays down.
func (n *backend) clearFault() {
	n.hasFault = false
	if n.Fault != model.Down {
		n.Fault = model.Healthy
	}
}
