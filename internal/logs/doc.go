// Package logs writes the broker's log: JSON lines through zap, and for each connection that ends one line with a Code.
//
// Logging never makes the event loop wait: lines are queued for a writer thread, and dropped and counted where the
// queue is full. docs/LOGS.md is the operators' table of codes and lines.
package logs
