package jsonnetfile

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// FieldError reports that a field violates the schema. If several do, it reports one of them.
type FieldError struct {
	// Name is the name of the file.
	Name string
	// Line is the line of the field, from 1; 0 if the file does not contain the name of the field.
	Line int
	// Field is the path of the field; empty for the whole file.
	Field []string
	// Problem describes the violation.
	Problem string
}

// Error returns "NAME:LINE: FIELD: PROBLEM", without LINE and FIELD if they are not known.
func (e *FieldError) Error() string {
	location := e.Name
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.Name, e.Line)
	}
	if len(e.Field) == 0 {
		return location + ": " + e.Problem
	}
	return location + ": " + strings.Join(e.Field, ".") + ": " + e.Problem
}

// validate checks result, the JSON to which text evaluates, against the schema. It returns a *FieldError if result
// violates the schema.
func validate(name, text, schema, result string) error {
	compiled, err := compileSchema(schema)
	if err != nil {
		return fmt.Errorf("%s: schema: %w", name, err)
	}
	value, err := jsonschema.UnmarshalJSON(strings.NewReader(result))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	err = compiled.Validate(value)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return fmt.Errorf("%s: %w", name, err)
	}
	cause := firstCause(invalid)
	return &FieldError{
		Name:    name,
		Line:    lineOf(text, cause.InstanceLocation),
		Field:   cause.InstanceLocation,
		Problem: cause.ErrorKind.LocalizedString(message.NewPrinter(language.English)),
	}
}

func compileSchema(schema string) (*jsonschema.Schema, error) {
	const resource = "schema.json"
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(schema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(resource, document); err != nil {
		return nil, err
	}
	return compiler.Compile(resource)
}

// firstCause follows the first cause of each error and returns the innermost one, which is about a single field. The
// outer ones are about the objects that contain it.
func firstCause(invalid *jsonschema.ValidationError) *jsonschema.ValidationError {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return invalid
}

// lineOf returns the line, from 1, of the first field in the text that is named by the last element of the path
// field. If the text has no such field, for example because an expression computes its name, lineOf looks for the
// element before it, and so on. It returns 0 if the text has none of them.
func lineOf(text string, field []string) int {
	for i := len(field) - 1; i >= 0; i-- {
		key := regexp.MustCompile(`(?m)^[^#]*?\b` + regexp.QuoteMeta(field[i]) + `\b['"]?\s*\+?:`)
		location := key.FindStringIndex(text)
		if location != nil {
			return 1 + strings.Count(text[:location[1]], "\n")
		}
	}
	return 0
}
