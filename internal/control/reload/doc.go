// Package reload applies a new configuration while the broker serves.
//
// On SIGHUP the file is read again and validated in full. A new address of discovery is applied at once; other
// changes are logged and need a restart. A file that is unreadable or invalid changes nothing.
package reload
