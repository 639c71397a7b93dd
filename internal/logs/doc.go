// Package logs writes the broker's log as JSON lines through zap. Each connection that ends is logged with a [Code].
//
// Logging never blocks the event loop: lines are queued for a writer goroutine, and are dropped and counted when the
// queue is full. docs/LOGS.md documents the codes and lines for operators.
package logs
