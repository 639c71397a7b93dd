// Package cursor seals the position at which a page ends, so that any broker with the key can serve the next page and
// nobody else can read or make one. It does no I/O and reads no clock: times are Unix ms that the caller passes, and
// nonces come from a reader.
//
// A broker makes a KeyRing of the keys of its operator's file, seals a Cursor for the client and opens what a client
// sends with the query for the next page:
//
//	keys, err := cursor.NewKeyRing(file.CursorKeys, rand.Reader)
//	...
//	text, err := keys.Seal(next)
//	...
//	before, err := keys.Open(text, tenant, cursor.Digest(class, clause.Canonical()), now)
//	changes := before.Changes(spans)
//
// A sealed cursor is base64url without padding of: one byte with the length of the key's name, the name, the nonce, and
// the CBOR map of wire.go sealed with AES-256-GCM. Length and name are its additional data.
//
// Values of the package's types are not safe for concurrent use.
package cursor
