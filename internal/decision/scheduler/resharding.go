package scheduler

import "slices"

// ReplacePart replaces a part by others, because its shard has been split, merged or moved. None of its attempts may
// be in flight. The attempts made so far count for each of the new parts. It reports whether the part was replaced;
// a part without an atomic group cannot be.
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
	// The part leaves its group only now, so that its replacements have found the group through it.
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

// addReplacements adds parts to the query and the atomic group of the part that they replace.
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

// ResumePart ends the retry delay of a part: what it waited for has come.
func (s *Scheduler) ResumePart(id uint64) {
	if p := s.parts[id]; p != nil {
		p.retryNotBefore = 0
	}
}
