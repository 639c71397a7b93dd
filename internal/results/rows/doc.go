// Package rows turns what nodes send into batches and back: JSON over frames, Arrow record batches over
// Flight. It has no I/O. What does not have the form is an error that names the place; what is larger than
// was asked for is given up at the first row too many, so that memory stays in its bound.
package rows
