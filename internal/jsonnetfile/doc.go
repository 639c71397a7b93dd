// Package jsonnetfile evaluates a Jsonnet file, validates the result by a JSON Schema and decodes it.
//
// Errors tell a person where to look: an EvaluationError has the place that Jsonnet names, and a FieldError the field
// that breaks the schema and, if the file writes it by its name, the line.
//
//   - jsonnetfile.go: from the file to the decoded value.
//   - schema.go: the validation.
package jsonnetfile
