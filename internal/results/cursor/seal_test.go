package cursor

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

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

// FuzzOpen: any other text than a sealed one is an error or a cursor with a valid rank.
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
