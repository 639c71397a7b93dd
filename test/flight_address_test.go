package test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/loopback"
)

// TestFlightAddressOfAnotherProgram requires that the program ends with a clear error if another program has the
// address of its Flight front, with a listener from the platform or without.
func TestFlightAddressOfAnotherProgram(t *testing.T) {
	foreign, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	defer func() { _ = foreign.Close() }()
	backends, o := newFlightPair(t, nil)
	beside := start(t, o) // offers its listener on another address
	file := filepath.Join(t.TempDir(), "flight.toml")
	text := fmt.Appendf(nil, "enabled = true\nlisten = %q\n", foreign.Addr())
	require.NoError(t, os.WriteFile(file, text, 0o600))
	for name, inherited := range map[string]*os.File{"inherited listener": o.listener, "own listener": nil} {
		t.Run(name, func(t *testing.T) {
			config := configBeside(t, beside, backends)
			if inherited == nil {
				config = configBeside(t, &program{httpAddr: freeAddress(t), discovery: beside.discovery}, backends)
			}
			p := launchWithListener(t, config, inherited, "TMPDIR="+o.stateDir, "TERNSTAGE_FLIGHT="+file)
			select {
			case err := <-p.exited:
				require.Error(t, err)
			case <-time.After(waitTimeout):
				require.Fail(t, "the program did not end")
			}
			require.Contains(t, p.logged(), "flight: listen tcp "+foreign.Addr().String())
			require.Contains(t, p.logged(), "address already in use")
		})
	}
}
