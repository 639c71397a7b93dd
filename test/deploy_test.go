package test

import (
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDeployListsPackagesOfProgram requires that `node` in deploy/balancer.toml lists exactly the packages of this
// repository that ternstage is built from, without those of `policy`.
func TestDeployListsPackagesOfProgram(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Node, Policy []string }
	require.NoError(t, toml.Unmarshal(text, &deploy))
	out, err := exec.Command("go", "list", "-deps", "ternstage/cmd/ternstage").Output()
	require.NoError(t, err)
	var want []string
	for _, p := range strings.Fields(string(out)) {
		if p, ours := strings.CutPrefix(p, "ternstage/"); ours && !strings.HasPrefix(deploy.Policy[0], p+"/") {
			want = append(want, p)
		}
	}
	slices.Sort(want)
	slices.Sort(deploy.Node)
	assert.Equal(t, want, deploy.Node)
}
