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

// FieldError reports whether a field breaks the schema. If several do, it is about one of them.
type FieldError struct {
	// Name is the name of the file.
	Name string
	// Line is the line of the field, from 1; 0 if the file does not write the field by its name.
	Line int
	// Field is the path of the field; empty for the whole file.
	Field []string
	// Problem is what the schema demands.
	Problem string
}

// Error returns "NAME:LINE: FIELD: PROBLEM" without what is not known.
func (e *FieldError) Error() string {
	place := e.Name
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.Name, e.Line)
	}
	if len(e.Field) == 0 {
		return place + ": " + e.Problem
	}
	return place + ": " + strings.Join(e.Field, ".") + ": " + e.Problem
}

// validate validates the result of the evaluation of a text. It returns a FieldError if the result breaks the schema.
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

// firstCause returns the innermost of the first causes, which names a field where the outer ones name objects.
func firstCause(invalid *jsonschema.ValidationError) *jsonschema.ValidationError {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return invalid
}

// lineOf returns the line, from 1, that first writes the innermost name of a field's path that the text has at all; 0
// if it has none, as where an expression makes the names.
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
