// Package discovery keeps the list of nodes: it reads the list's form, watches for changes over HTTP/1.1 on
// the loop, and knows each node's address.
package discovery
