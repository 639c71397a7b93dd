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

	// heapShare is the share of the memory limit that the Go heap may have. The rest is for the program's text, stacks
	// and the kernel's buffers.
	heapShare = 0.6
	// clientMemoryDivisor: one in so many bytes of the memory limit is for clients' requests and answers.
	clientMemoryDivisor = 6

	// minDescriptors is the number of descriptors with which the program starts even if the system allows fewer.
	minDescriptors = 48
	// reservedDescriptors are for the event loop, discovery, the log and the runtime.
	reservedDescriptors = 24
	// backendDescriptorDivisor: one in so many of the descriptors for connections is for backends.
	backendDescriptorDivisor = 4
	// maxFlightDivisor: at most one in so many of the clients' descriptors is for Flight clients.
	maxFlightDivisor = 2
)

// limitRuntime bounds the Go runtime by the limits of the platform.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * heapShare * bytesPerMB))
}

// maxClientBytes bounds what is buffered for clients at any moment, in bytes.
func maxClientBytes(cfg *config.Config) int { return cfg.MemoryMB * bytesPerMB / clientMemoryDivisor }

// connectionLimits say how many descriptors each kind of connection may hold at once.
type connectionLimits struct {
	clients  int // HTTP
	flight   int // Flight clients
	backends int
}

// divideDescriptors divides the descriptors that the process may hold. Flight's connections, at most maxFlight, come
// out of the clients' part.
func divideDescriptors(total int, adminAPI, flightFront bool, maxFlight int) connectionLimits {
	connections := total - reservedDescriptors
	if adminAPI {
		const listener = 1
		connections -= adminapi.MaxConnections + listener
	}
	limits := connectionLimits{flight: maxFlight, backends: connections / backendDescriptorDivisor}
	limits.clients = connections - limits.backends
	if flightFront {
		limits.flight = min(maxFlight, limits.clients/maxFlightDivisor)
		limits.clients -= limits.flight
	}
	return limits
}

// allowedDescriptors returns how many descriptors the process may hold: as many as configured, or what the system
// allows if that is less, but never less than minDescriptors. The latter is logged.
func allowedDescriptors(configured int, log *logs.Log) int {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	log.Warn("fewer descriptors than the limits say", zap.Int("sockets", configured), zap.Uint64("allowed", limit.Cur))
	return max(int(limit.Cur), minDescriptors)
}
