// Package httpanswer parses the HTTP/1.1 answers of the services that the broker asks: discovery and
// catalogues.
package httpanswer
