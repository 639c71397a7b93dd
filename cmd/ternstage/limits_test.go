package main

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

func TestDivideDescriptors(t *testing.T) {
	const defaultMaxFlight = 128
	for _, c := range []struct {
		name           string
		total          int
		hasAdminAPI    bool
		hasFlightFront bool
		want           connectionLimits
	}{
		{"HTTP only", 1024, false, false, connectionLimits{clients: 750, flight: 128, backends: 250}},
		{"admin API", 1024, true, false, connectionLimits{clients: 702, flight: 128, backends: 233}},
		{"Flight", 1024, false, true, connectionLimits{clients: 622, flight: 128, backends: 250}},
		{"Flight has half of few", 64, false, true, connectionLimits{clients: 15, flight: 15, backends: 10}},
		{"all", 256, true, true, connectionLimits{clients: 63, flight: 63, backends: 41}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, divideDescriptors(c.total, c.hasAdminAPI, c.hasFlightFront, defaultMaxFlight))
		})
	}
}

func TestAllowedDescriptors(t *testing.T) {
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	if limit.Cur >= math.MaxInt {
		t.Skip("the system sets no limit")
	}
	output, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = output.Close() })
	log := logs.New(output, "limits-test")
	t.Cleanup(func() { log.Close() })
	assert.Equal(t, 64, allowedDescriptors(64, log), "as configured")
	assert.Equal(t, max(int(limit.Cur), minDescriptors), allowedDescriptors(int(limit.Cur)+1, log), "as the system allows")
}

func TestDivideClientBytes(t *testing.T) {
	assert.Equal(t, clientBytes{http: 192 << 20 / 6}, divideClientBytes(192<<20, 115<<20, false))
	assert.Equal(t, clientBytes{http: 16 << 20, flight: 16 << 20}, divideClientBytes(192<<20, 115<<20, true))
	assert.Equal(t, clientBytes{http: 2 << 20}, divideClientBytes(32<<20, 12<<20, false), "what the heap has")
}

func TestHeapLimit(t *testing.T) {
	assert.EqualValues(t, 60<<20, heapLimitBytes(100<<20, 20<<20), "a share of the limit")
	assert.EqualValues(t, 10<<20, heapLimitBytes(32<<20, 18<<20), "what the program's text leaves")
	assert.EqualValues(t, minHeapBytes, heapLimitBytes(24<<20, 18<<20))
	assert.Greater(t, programTextBytes(), 1<<20)
}
