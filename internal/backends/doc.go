// Package backends speaks frames to nodes: a pool of connections for each, calls that share a connection, and
// what is proved of a part when a connection breaks.
package backends
