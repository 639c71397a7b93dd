// Package contract holds what the broker has agreed with its clients: the classes of query, the tenants and their
// quotas, and the form of queries and answers. All fronts read queries with it, so that they keep the same contracts.
//
// Contracts.ParseQuery makes a core.Request of an Envelope, which each front fills from its own wire, and of the JSON
// body, which all wires share. The front sets the request's Client and submits it to core. EncodeAnswer makes the body
// of an answer.
//
// The package maps the names of the bodies (docs/GLOSSARY.md): a hit is a value, its districts are its buckets. The
// texts of its errors go to clients.
//
// A Contracts is not safe for concurrent use.
package contract
