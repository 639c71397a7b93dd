package loop

import "math/bits"

const (
	// queuedWorkBudgetMs is the time that queued work may take in one wake-up. The last work that is started within it
	// may exceed it.
	queuedWorkBudgetMs = 5.0
	// sizeClasses is the number of size classes of queued work: one for each power of two up to 128 KiB, more than the
	// largest request. Larger inputs count as of the last class.
	sizeClasses = 18
)

// Enqueue queues work that takes too long for an event handler, such as parsing a client's request. sizeBytes is the
// size of its input. Each wake-up runs queued work for a limited time, after all other work and before the scheduling
// round. However much is queued, events, timers and rounds are therefore delayed by one piece of work at most.
//
// Work is divided into classes by the size of its input, and the classes share the time equally. Within a class it
// runs in the order of the calls. Work with a small input thus does not wait until many large inputs have been
// processed, whatever these cost on this machine; nor do many small inputs hold up the large ones for ever.
//
// Enqueue must be called on the loop's thread. The caller bounds the length of the queue: each connection or call has
// at most one piece of work in it.
func (l *Loop) Enqueue(sizeBytes int, run func()) { l.queue.add(sizeBytes, run) }

// runQueue runs queued work until it has taken budgetMs, and at least one piece if there is a budget. It returns the
// time taken in ms.
func (l *Loop) runQueue(budgetMs float64) (takenMs float64) {
	if l.queue.length == 0 || budgetMs <= 0 {
		return 0
	}
	startedAt := l.ReadClock()
	for l.queue.length > 0 && takenMs < budgetMs {
		class, run := l.queue.take()
		run()
		elapsedMs := l.ReadClock() - startedAt
		class.usedMs += elapsedMs - takenMs
		takenMs = elapsedMs
	}
	return takenMs
}

// workQueue holds queued work by size class.
type workQueue struct {
	classes   [sizeClasses]workClass
	length    int     // pieces of work in all classes
	virtualMs float64 // usedMs of the class whose work ran last, from before it ran
}

// workClass is the queued work of one size class, the oldest first.
type workClass struct {
	pending []func()
	usedMs  float64 // time that the class has taken; see workQueue.add
}

// add queues a piece of work. A class that was empty gets no credit for the time that it has not used meanwhile.
func (q *workQueue) add(sizeBytes int, run func()) {
	class := &q.classes[min(bits.Len(uint(sizeBytes)), sizeClasses-1)]
	if len(class.pending) == 0 {
		class.usedMs = max(class.usedMs, q.virtualMs)
	}
	class.pending = append(class.pending, run)
	q.length++
}

// take removes the piece of work that runs next: the oldest of the class that has taken the least time, and among
// equals of the class of the smallest inputs. The caller adds the time that the work takes to class.usedMs. The queue
// must not be empty.
func (q *workQueue) take() (class *workClass, run func()) {
	for i := range q.classes {
		candidate := &q.classes[i]
		if len(candidate.pending) > 0 && (class == nil || candidate.usedMs < class.usedMs) {
			class = candidate
		}
	}
	run = class.pending[0]
	class.pending[0] = nil
	class.pending = class.pending[1:]
	q.length--
	q.virtualMs = class.usedMs
	return class, run
}
