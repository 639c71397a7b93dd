// Package fleetshare holds decisions that each of many brokers makes alone although their effect is the sum over all
// brokers, which none of them sees. ClientThrottle limits what a broker sends to its share of what the fleet accepts.
// DeadlineAdmission rejects queries that arrive with less time left than queries need. SlowStartQuota limits what a
// broker sends to a backend that is warming up.
//
// The brokers exchange no messages. Each knows the number of brokers, its own index, and the results of its own
// parts. The package does no I/O and reads no clock. Times are in ms. Work is in mean parts, or in ms where a name
// says so. docs/design/adding-up.md derives the rules and has the measurements.
package fleetshare
