// Package loop is the one thread of decisions: an epoll loop that owns every platform socket and timer.
// Connections are objects with a Ready callback; nothing is started for a single request. Other threads
// reach the loop by Post alone.
package loop
