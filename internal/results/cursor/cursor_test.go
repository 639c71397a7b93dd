package cursor

import (
	"bytes"
	"crypto/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

func newKey(name string, b byte) Key {
	return Key{Name: name, Secret: bytes.Repeat([]byte{b}, secretBytes)}
}

func newKeyRing(t require.TestingT, keys ...Key) *KeyRing {
	r, err := NewKeyRing(keys, rand.Reader)
	require.NoError(t, err)
	return r
}

func newCursor() *Cursor {
	return &Cursor{Epoch: 41, NextRank: 51, After: &merge.Position{Rank: []merge.Value{merge.IntOf(700), merge.FloatOf(0.5),
		merge.TextOf("x")}, Bucket: 17, Key: "p-9"}, Spans: []Span{{0, 10, 3, 1}, {10, 20, 0, 0}, {20, 30, 4, 2}},
		QueryDigest: Digest("compare", []byte("{}")), Tenant: "gangasagar-life", ExpiresAt: 5000}
}

func TestSealAndOpen(t *testing.T) {
	r, c := newKeyRing(t, newKey("2026-12", 1)), newCursor()
	text, err := r.Seal(c)
	require.NoError(t, err)
	got, err := r.Open(text, c.Tenant, c.QueryDigest, 4999)
	require.NoError(t, err)
	require.Equal(t, c, got)
	require.NotContains(t, text, "gangasagar")
	again, err := r.Seal(c)
	require.NoError(t, err)
	require.NotEqual(t, text, again, "two cursors of one place tell nothing of each other")
	c.After = nil
	text, err = r.Seal(c)
	require.NoError(t, err)
	got, err = r.Open(text, c.Tenant, c.QueryDigest, 0)
	require.NoError(t, err)
	require.Nil(t, got.After)
}

func TestOpenErrors(t *testing.T) {
	r, c := newKeyRing(t, newKey("a", 1)), newCursor()
	text, err := r.Seal(c)
	require.NoError(t, err)
	for name, f := range map[string]struct {
		open func() (*Cursor, error)
		err  error
	}{
		"expired":        {func() (*Cursor, error) { return r.Open(text, c.Tenant, c.QueryDigest, 5000) }, ErrExpired},
		"another tenant": {func() (*Cursor, error) { return r.Open(text, "teesta", c.QueryDigest, 0) }, ErrOtherTenant},
		"another query":  {func() (*Cursor, error) { return r.Open(text, c.Tenant, Digest("quote", []byte("{}")), 0) }, ErrOtherQuery},
		"a key is gone":  {func() (*Cursor, error) { return newKeyRing(t, newKey("b", 2)).Open(text, c.Tenant, c.QueryDigest, 0) }, ErrUnknownKey},
		"another secret": {func() (*Cursor, error) { return newKeyRing(t, newKey("a", 2)).Open(text, c.Tenant, c.QueryDigest, 0) }, ErrNotAuthentic},
		"empty":          {func() (*Cursor, error) { return r.Open("", c.Tenant, c.QueryDigest, 0) }, ErrMalformed},
		"cut":            {func() (*Cursor, error) { return r.Open(text[:12], c.Tenant, c.QueryDigest, 0) }, ErrMalformed},
		"too long": {func() (*Cursor, error) {
			return r.Open(strings.Repeat("A", MaxTextBytes+1), c.Tenant, c.QueryDigest, 0)
		}, ErrMalformed},
		"no base64": {func() (*Cursor, error) { return r.Open("!"+text, c.Tenant, c.QueryDigest, 0) }, ErrMalformed},
	} {
		_, err := f.open()
		require.ErrorIs(t, err, f.err, name)
	}
	// Any one character changed is seen.
	for i := range text {
		b := []byte(text)
		if b[i] = 'A'; text[i] == 'A' {
			b[i] = 'B'
		}
		_, err := r.Open(string(b), c.Tenant, c.QueryDigest, 0)
		require.Error(t, err, i)
	}
	require.NotEqual(t, Digest("ab", []byte("c")), Digest("a", []byte("bc")), "class and clauses do not run together")
}

func TestKeyRotation(t *testing.T) {
	old, c := newKeyRing(t, newKey("a", 1)), newCursor()
	text, err := old.Seal(c)
	require.NoError(t, err)
	both := newKeyRing(t, newKey("b", 2), newKey("a", 1))
	_, err = both.Open(text, c.Tenant, c.QueryDigest, 0)
	require.NoError(t, err, "the key before still opens")
	next, err := both.Seal(c)
	require.NoError(t, err)
	_, err = newKeyRing(t, newKey("b", 2)).Open(next, c.Tenant, c.QueryDigest, 0)
	require.NoError(t, err, "the new one seals")
	for _, bad := range [][]Key{nil, {newKey("a", 1), newKey("a", 2)}, {{Name: "a"}}, {newKey("", 1)},
		{newKey("a", 1), newKey("b", 2), newKey("c", 3)}} {
		_, err := NewKeyRing(bad, rand.Reader)
		require.Error(t, err)
	}
}

func TestSealJoinsSpansAndBoundsTheText(t *testing.T) {
	r, c := newKeyRing(t, newKey("a", 1)), newCursor()
	c.Spans = nil
	for i := range 20_000 {
		c.Spans = append(c.Spans, Span{i, i + 1, 7, 1})
	}
	text, err := r.Seal(c)
	require.NoError(t, err, "neighbours of one version are one span")
	require.Less(t, len(text), 500)
	for i := range c.Spans {
		c.Spans[i].Version = uint64(1000 + i%2)
	}
	_, err = r.Seal(c)
	require.ErrorIs(t, err, ErrTooLong)
}

// A slice that was missing comes back, one that was read is gone, one has newer data; slices were cut anew meanwhile.
func TestChanges(t *testing.T) {
	c := newCursor()
	back, gone, other := c.Changes([]Span{{0, 5, 3, 9}, {5, 15, 0, 9}, {15, 25, 4, 9}, {25, 30, 5, 9}})
	require.Equal(t, []Span{{15, 20, 4, 9}}, back)
	require.Equal(t, []Span{{5, 10, 0, 9}}, gone)
	require.Equal(t, []Span{{25, 30, 5, 9}}, other)
	back, gone, other = c.Changes([]Span{{0, 10, 3, 9}, {10, 20, 0, 9}, {20, 30, 4, 9}})
	require.Empty(t, append(append(back, gone...), other...))
}

func FuzzOpen(f *testing.F) {
	r, c := newKeyRing(f, newKey("a", 1)), newCursor()
	text, err := r.Seal(c)
	require.NoError(f, err)
	f.Add(text)
	f.Add("AWEAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, s string) {
		got, err := r.Open(s, c.Tenant, c.QueryDigest, 0)
		if err == nil && s != text && got.NextRank < 1 {
			t.Fatal(got)
		}
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	r, c := newKeyRing(b, newKey("a", 1)), newCursor()
	c.Spans = nil
	for i := range 200 {
		c.Spans = append(c.Spans, Span{i, i + 1, uint64(i), 1})
	}
	b.ReportAllocs()
	for range b.N {
		text, err := r.Seal(c)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := r.Open(text, c.Tenant, c.QueryDigest, 0); err != nil {
			b.Fatal(err)
		}
	}
}
