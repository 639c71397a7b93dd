// Package loop is the event loop on whose single thread the broker takes all its decisions.
//
// A Loop owns an epoll instance, the sockets that are registered with it, and timers. Handlers are called when their
// descriptors are ready; they share state without locks and must not block. No goroutine and no timer is made for a
// request. Other threads reach the loop through Post only.
//
// After each wake-up, once all that has happened is handled, the function given to OnRoundEnd runs: the scheduling
// round.
//
// Times are float64 in ms on the loop's monotonic clock, which reads ClockStart when the loop is made.
package loop
