// Package cursor encrypts and authenticates ("seals") the position at which a page ends. Any broker with the key can
// serve the next page, and nobody else can read or forge a cursor. It does no I/O and reads no clock: callers pass
// times as Unix ms, and nonces come from a reader.
//
// A broker creates a KeyRing from the keys in its operator's file, seals a Cursor for the client, and opens the
// sealed cursor that the client sends with the query for the next page:
//
//	keys, err := cursor.NewKeyRing(file.CursorKeys, rand.Reader)
//	...
//	text, err := keys.Seal(next)
//	...
//	previous, err := keys.Open(text, tenant, cursor.Digest(class, clause.Canonical()), nowMs)
//	changes := previous.Changes(spans)
//
// A sealed cursor is encoded as base64url without padding. It consists of one byte with the length of the key's name,
// the name, the nonce, and the CBOR map of wire.go sealed with AES-256-GCM. Length and name are the additional data.
//
// Values of the package's types are not safe for concurrent use.
package cursor
