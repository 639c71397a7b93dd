// Package contract holds what the broker has agreed with its clients: the classes of requests, the tenants and their
// quotas, and the form of requests and answers. All fronts parse requests with it, so that the same rules apply to
// all.
//
// Contracts.ParseQuery makes a core.Request from an Envelope, which each front fills from its own protocol, and from
// the JSON body, which is the same in all protocols. The front sets the request's Client and submits the request to
// core. EncodeAnswer makes the body of an answer.
//
// Some names in the bodies differ from those in the code (docs/GLOSSARY.md): a hit is a value, and its districts are
// its buckets. The texts of the package's errors go to clients.
//
// A Contracts is not safe for concurrent use.
package contract
