package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/config"
	"ternstage/internal/control/adminapi"
	"ternstage/internal/logs"
)

const (
	bytesPerMB = 1 << 20

	// heapShare is the share of the memory limit for the Go heap. The rest is for the program's text, stacks and the
	// kernel's buffers.
	heapShare = 0.6
	// clientMemoryDivisor divides the memory limit; the quotient is for requests of clients and their answers.
	clientMemoryDivisor = 6

	// minDescriptors is the number of descriptors that the program assumes even if the system allows fewer.
	minDescriptors = 48
	// reservedDescriptors is the number of descriptors for the event loop, discovery, the log and the runtime.
	reservedDescriptors = 24
	// backendDescriptorDivisor divides the descriptors for connections; the quotient is for backends.
	backendDescriptorDivisor = 4
	// maxFlightDivisor divides the descriptors for clients; at most the quotient is for Flight clients.
	maxFlightDivisor = 2
)

// limitRuntime applies the platform's limits for CPUs and memory to the Go runtime.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * heapShare * bytesPerMB))
}

// maxClientBytes returns the maximum number of bytes that are buffered for all clients together.
func maxClientBytes(cfg *config.Config) int { return cfg.MemoryMB * bytesPerMB / clientMemoryDivisor }

// connectionLimits holds the maximum number of descriptors in use for each kind of connection.
type connectionLimits struct {
	clients  int // HTTP
	flight   int // Flight clients
	backends int
}

// divideDescriptors divides the descriptors that the process may use. Those for Flight clients, at most maxFlight,
// are taken from the clients' share.
func divideDescriptors(total int, hasAdminAPI, hasFlightFront bool, maxFlight int) connectionLimits {
	connections := total - reservedDescriptors
	if hasAdminAPI {
		const listener = 1
		connections -= adminapi.MaxConnections + listener
	}
	limits := connectionLimits{flight: maxFlight, backends: connections / backendDescriptorDivisor}
	limits.clients = connections - limits.backends
	if hasFlightFront {
		limits.flight = min(maxFlight, limits.clients/maxFlightDivisor)
		limits.clients -= limits.flight
	}
	return limits
}

// allowedDescriptors returns the number of descriptors that the process may use: as many as configured, or the limit
// of the system if that is lower, but at least minDescriptors. A lower limit of the system is logged.
func allowedDescriptors(configured int, log *logs.Log) int {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	log.Warn("fewer descriptors than the limits say", zap.Int("sockets", configured), zap.Uint64("allowed", limit.Cur))
	return max(int(limit.Cur), minDescriptors)
}
