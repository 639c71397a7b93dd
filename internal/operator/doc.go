// Package operator reads the operator's file, which enables optional features of an installation in addition to the
// platform's settings. The file is Jsonnet (package jsonnetfile) and is validated by api/operator.schema.json;
// deploy/operator.jsonnet is an example.
//
// Without a file, or without its section in the file, a feature is off. The file keeps the platform's words; the
// types here map them to the terms of docs/GLOSSARY.md.
package operator
