package jsonnetfile

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/google/go-jsonnet"
)

// maxStackFrames limits the depth of calls in a file, so that an endless recursion is an error.
const maxStackFrames = 500

// EvaluationError reports that a file is not valid Jsonnet, or that its evaluation failed.
type EvaluationError struct {
	// Err is Jsonnet's error, whose text has several lines.
	Err error
}

// Error returns one line: the problem and the first location in the stack trace.
func (e *EvaluationError) Error() string {
	const problemAndLocation = 2 // lines
	lines := strings.SplitN(e.Err.Error(), "\n", problemAndLocation+1)
	return strings.TrimSpace(strings.Join(lines[:min(problemAndLocation, len(lines))], " "))
}

// Unwrap returns Jsonnet's error.
func (e *EvaluationError) Unwrap() error { return e.Err }

// Load reads the file at path, evaluates it with the external variables, validates the result against the schema and
// decodes it into out. Errors are those of LoadText and of reading the file.
func Load(path, schema string, variables map[string]string, out any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return LoadText(path, string(text), schema, variables, out)
}

// LoadText does the same as Load for a text instead of a file. Errors refer to the text as name. They are an
// EvaluationError, a FieldError, an error of the schema itself, or the error of decoding the result into out.
func LoadText(name, text, schema string, variables map[string]string, out any) error {
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackFrames
	for variable, value := range variables {
		vm.ExtVar(variable, value)
	}
	result, err := vm.EvaluateAnonymousSnippet(name, text)
	if err != nil {
		return &EvaluationError{Err: err}
	}
	if err := validate(name, text, schema, result); err != nil {
		return err
	}
	if err := json.Unmarshal([]byte(result), out); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
