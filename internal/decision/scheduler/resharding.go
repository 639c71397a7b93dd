package scheduler

import "slices"

// ReplacePart replaces a part by others after its shard has been split, merged or moved. It reports whether it did.
// A part cannot be replaced if it is unknown, has arrived, has attempts in flight or is in no atomic group. The
// attempts made so far count as attempts of each new part.
func (s *Scheduler) ReplacePart(now float64, id uint64, replacements []Part) bool {
	p := s.parts[id]
	if p == nil || p.arrived || p.attemptsInFlight > 0 || p.query.ended || p.group == nil {
		return false
	}
	group := p.group
	weight := group.weight
	wasQueued := p.queued
	p.queued = false
	p.abandoned = true
	delete(s.parts, id)
	replacing := s.addReplacements(p, replacements)
	// The part leaves its group only now because its replacements find the group through it.
	isReplaced := func(other *part) bool { return other == p }
	p.query.parts = slices.DeleteFunc(p.query.parts, isReplaced)
	group.parts = slices.DeleteFunc(group.parts, isReplaced)
	group.weight = weight
	group.missing--
	if wasQueued {
		s.enqueue(now, replacing)
	}
	return true
}

// addReplacements adds the parts that replace a part to its query and its atomic group, and returns them.
func (s *Scheduler) addReplacements(replaced *part, replacements []Part) []*part {
	var added []*part
	for _, in := range replacements {
		in.AtomicGroup = replaced.group.number
		p := s.addPart(replaced.query, in)
		p.attempts = slices.Clone(replaced.attempts)
		p.reserve = replaced.reserve
		p.retryNotBefore = replaced.retryNotBefore
		added = append(added, p)
	}
	return added
}

// ResumePart ends the retry delay of a part because the event that it waited for has happened.
func (s *Scheduler) ResumePart(id uint64) {
	if p := s.parts[id]; p != nil {
		p.retryNotBefore = 0
	}
}
