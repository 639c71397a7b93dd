package logs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// logsPage documents most codes in a table and the others in the text below the table.
const logsPage = "../../docs/LOGS.md"

// declaredCodes returns the values and the comments of the codes in codes.go by their names.
func declaredCodes(t *testing.T) (values, comments map[string]string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, parser.ParseComments)
	require.NoError(t, err)
	values = map[string]string{}
	comments = map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		name := spec.Names[0].Name
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		values[name] = value
		comments[name] = spec.Doc.Text()
		return false
	})
	return values, comments
}

// TestCodesAreDocumented checks that codes are unique, that each has a comment, and that docs/LOGS.md has the same
// codes.
func TestCodesAreDocumented(t *testing.T) {
	values, comments := declaredCodes(t)
	var declared []string
	for name, value := range values {
		assert.NotContains(t, declared, value, "%s", name)
		declared = append(declared, value)
		assert.True(t, strings.HasPrefix(comments[name], name+": "), "%s has a comment", name)
	}
	text, err := os.ReadFile(logsPage)
	require.NoError(t, err)
	var documented []string
	for _, mention := range regexp.MustCompile("`([A-Z]\\d\\d)`").FindAllStringSubmatch(string(text), -1) {
		if !slices.Contains(documented, mention[1]) {
			documented = append(documented, mention[1])
		}
	}
	assert.ElementsMatch(t, documented, declared)
}
