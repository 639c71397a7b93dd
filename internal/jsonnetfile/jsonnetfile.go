// Package jsonnetfile evaluates a Jsonnet file and holds the result against a JSON Schema. An error names the
// file, and the line of a fault in the Jsonnet or the field of one in what it gives.
package jsonnetfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/google/go-jsonnet"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxStack bounds how deep a template may call itself.
const maxStack = 500

// Load evaluates the file with the external variables vars, checks the result and decodes it into out.
func Load(path, schema string, vars map[string]string, out any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return LoadText(path, string(text), schema, vars, out)
}

// LoadText is Load of a text that messages call by a name.
func LoadText(path, text, schema string, vars map[string]string, out any) error {
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStack
	for k, v := range vars {
		vm.ExtVar(k, v)
	}
	result, err := vm.EvaluateAnonymousSnippet(path, text)
	if err != nil {
		return fmt.Errorf("%s", strings.TrimSpace(firstLines(err.Error())))
	}
	if err := check(schema, result); err != nil {
		at := ""
		var f *fieldError
		if errors.As(err, &f) {
			if n := lineOf(text, f.field); n > 0 {
				at = fmt.Sprintf(":%d", n)
			}
		}
		return fmt.Errorf("%s%s: %w", path, at, err)
	}
	if err := json.Unmarshal([]byte(result), out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// firstLines drops the template's stack trace but for where it points first.
func firstLines(text string) string {
	lines := strings.SplitN(text, "\n", 3)
	return strings.Join(lines[:min(2, len(lines))], " ")
}

// fieldError is what the schema has against a field.
type fieldError struct {
	field []string
	what  string
}

// Error names the field as a path.
func (e *fieldError) Error() string {
	if len(e.field) == 0 {
		return e.what
	}
	return strings.Join(e.field, ".") + ": " + e.what
}

func check(schema, text string) error {
	s, err := jsonschema.UnmarshalJSON(strings.NewReader(schema))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", s); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiled, err := c.Compile("schema.json")
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	v, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		return err
	}
	var bad *jsonschema.ValidationError
	if err := compiled.Validate(v); !errors.As(err, &bad) {
		return err
	}
	for len(bad.Causes) > 0 {
		bad = bad.Causes[0]
	}
	return &fieldError{bad.InstanceLocation, bad.ErrorKind.LocalizedString(message.NewPrinter(language.English))}
}

// lineOf finds the line in which a field is written, the innermost name that stands in the file; 0 if none
// does, as where a template makes the name.
func lineOf(text string, field []string) int {
	for i := len(field) - 1; i >= 0; i-- {
		name := regexp.MustCompile(`(?m)^[^#]*?\b` + regexp.QuoteMeta(field[i]) + `\b['"]?\s*\+?:`)
		at := name.FindStringIndex(text)
		if at != nil {
			return 1 + strings.Count(text[:at[1]], "\n")
		}
	}
	return 0
}
