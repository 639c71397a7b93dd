// Package logs writes the program's log with zap, one line for each connection that ends among others, and
// never makes the loop wait for whoever reads it. docs/LOGS.md lists the codes.
package logs
