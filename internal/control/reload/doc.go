// Package reload applies a new configuration while the broker serves.
//
// It owns the meaning of SIGHUP. The file is read again and validated in full. The address of discovery changes at
// once; other differences are reported and wait for a restart. A file that is unreadable or invalid changes nothing.
package reload
