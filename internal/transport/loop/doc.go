// Package loop implements the event loop. The broker makes all its decisions on the loop's single thread.
//
// A Loop owns an epoll instance, the sockets registered with it, and timers. It calls a handler when the handler's
// descriptor is ready. Handlers share state without locks and must not block. No goroutine or timer is created per
// request. Other threads access the loop only through Post.
//
// Work that takes longer, such as parsing a client's request, is queued with Enqueue. Each wake-up gives it a limited
// time, so that it cannot hold up events, timers and scheduling rounds.
//
// At the end of each wake-up, after all pending events have been handled, the loop calls the function set with
// OnWakeUpEnd, which runs the scheduling round.
//
// Times are float64 milliseconds on the loop's monotonic clock. The clock reads ClockStart when the loop is created.
package loop
