// Package jsonnetfile evaluates a Jsonnet file, validates the result against a JSON Schema and decodes it.
//
// Errors give the place of the problem: an EvaluationError has the location that Jsonnet reports, and a FieldError
// has the field that violates the schema and, if the name of the field is written in the file, its line.
//
//   - jsonnetfile.go: evaluates and decodes a file.
//   - schema.go: validates the result of the evaluation.
package jsonnetfile
