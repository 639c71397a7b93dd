package main

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/config"
	"ternstage/internal/control/adminapi"
	"ternstage/internal/logs"
)

const (
	bytesPerMB = 1 << 20

	// heapShare is the share of the memory limit for the Go heap and stacks, unless the program's text leaves less.
	heapShare = 0.6
	// libraryBytes is the memory for the C library and what the runtime maps beside the heap.
	libraryBytes = 4 * bytesPerMB
	// minHeapBytes is the memory for the Go heap even if the limit is too low for the program. Below it the collector
	// would take most of the CPU.
	minHeapBytes = 10 * bytesPerMB
	// clientMemoryDivisor divides the memory limit; the quotient is for requests of clients and their answers, unless the
	// heap has less.
	clientMemoryDivisor = 6
	// baseHeapBytes is the memory of the Go heap and stacks without requests of clients.
	baseHeapBytes = 6 * bytesPerMB
	// heapPerClientByte is the memory of the Go heap for each byte of clients: the byte, what is made of it, and both as
	// garbage until they are collected.
	heapPerClientByte = 3

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
	debug.SetMemoryLimit(int64(heapLimitBytes(cfg.MemoryMB*bytesPerMB, programTextBytes())))
}

// heapLimitBytes returns the memory for the Go heap and stacks of a program whose text has textBytes. All of the text
// may be resident and counts against the memory limit.
func heapLimitBytes(limitBytes, textBytes int) int {
	share := int(float64(limitBytes) * heapShare)
	return max(min(share, limitBytes-textBytes-libraryBytes), minHeapBytes)
}

// programTextBytes returns the size of the program's text and constants, or 0 if the system does not tell it.
func programTextBytes() int {
	const (
		field      = "VmExe:"
		bytesPerKB = 1 << 10
	)
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), field)
	words := strings.Fields(after)
	if len(words) == 0 {
		return 0
	}
	kilobytes, err := strconv.Atoi(words[0])
	if err != nil {
		return 0
	}
	return kilobytes * bytesPerKB
}

// clientBytes holds the maximum number of bytes that are buffered for the clients of each front.
type clientBytes struct {
	http   int
	flight int
}

// divideClientBytes divides the memory for clients between the fronts.
func divideClientBytes(limitBytes, heapBytes int, hasFlightFront bool) clientBytes {
	total := min(limitBytes/clientMemoryDivisor, (heapBytes-baseHeapBytes)/heapPerClientByte)
	if !hasFlightFront {
		return clientBytes{http: total}
	}
	return clientBytes{http: total / 2, flight: total / 2}
}

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
