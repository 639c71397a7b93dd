// Package fleetshare decides what one of many brokers takes of a sum that none of them sees: of what the fleet
// accepts (ClientThrottle), of the time that queries need (DeadlineAdmission) and of what a warming backend may be
// sent (SlowStartQuota).
//
// No messages pass between the brokers. Each knows how many there are, which one it is, and what became of its own
// parts. The package does no I/O and reads no clock. Times are milliseconds; work is in mean parts unless a name
// says ms. docs/design/adding-up.md derives the rules and has the measurements.
package fleetshare
