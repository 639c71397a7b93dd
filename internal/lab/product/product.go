// Package product builds the program, for tests that start it, the way deploy/balancer.toml does.
package product

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Build builds ternstage into a directory and returns the path of the binary. If TERNSTAGE_RACE is set, the binary
// has the race detector.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "ternstage")
	args := []string{"build", "-tags", "grpcnotrace", "-ldflags=-linkmode=external", "-o", path}
	if os.Getenv("TERNSTAGE_RACE") != "" {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "ternstage/cmd/ternstage")...)
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build of ternstage: %w\n%s", err, out)
	}
	return path, nil
}
