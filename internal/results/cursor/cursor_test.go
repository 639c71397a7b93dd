package cursor

import (
	"bytes"
	"crypto/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

func key(name string, b byte) Key { return Key{Name: name, Secret: bytes.Repeat([]byte{b}, secret)} }

func ring(t require.TestingT, keys ...Key) *Ring {
	r, err := NewRing(keys, rand.Reader)
	require.NoError(t, err)
	return r
}

func sample() *Cursor {
	return &Cursor{Epoch: 41, Next: 51, After: &merge.Position{Rank: []merge.Value{merge.IntOf(700), merge.FloatOf(0.5),
		merge.TextOf("x")}, Bucket: 17, Key: "p-9"}, Spans: []Span{{0, 10, 3, 1}, {10, 20, 0, 0}, {20, 30, 4, 2}},
		Query: Digest("compare", []byte("{}")), Tenant: "gangasagar-life", Expires: 5000}
}

func TestThereAndBack(t *testing.T) {
	r, c := ring(t, key("2026-12", 1)), sample()
	text, err := r.Seal(c)
	require.NoError(t, err)
	got, err := r.Open(text, c.Tenant, c.Query, 4999)
	require.NoError(t, err)
	require.Equal(t, c, got)
	require.NotContains(t, text, "gangasagar")
	again, err := r.Seal(c)
	require.NoError(t, err)
	require.NotEqual(t, text, again, "two cursors of one place tell nothing of each other")
	c.After = nil
	text, err = r.Seal(c)
	require.NoError(t, err)
	got, err = r.Open(text, c.Tenant, c.Query, 0)
	require.NoError(t, err)
	require.Nil(t, got.After)
}

func TestWhatIsNotOursIsNamed(t *testing.T) {
	r, c := ring(t, key("a", 1)), sample()
	text, err := r.Seal(c)
	require.NoError(t, err)
	for name, f := range map[string]struct {
		open func() (*Cursor, error)
		err  error
	}{
		"expired":        {func() (*Cursor, error) { return r.Open(text, c.Tenant, c.Query, 5000) }, ErrExpired},
		"another tenant": {func() (*Cursor, error) { return r.Open(text, "teesta", c.Query, 0) }, ErrTenant},
		"another query":  {func() (*Cursor, error) { return r.Open(text, c.Tenant, Digest("quote", []byte("{}")), 0) }, ErrQuery},
		"a key is gone":  {func() (*Cursor, error) { return ring(t, key("b", 2)).Open(text, c.Tenant, c.Query, 0) }, ErrKey},
		"another secret": {func() (*Cursor, error) { return ring(t, key("a", 2)).Open(text, c.Tenant, c.Query, 0) }, ErrAltered},
		"empty":          {func() (*Cursor, error) { return r.Open("", c.Tenant, c.Query, 0) }, ErrForm},
		"cut":            {func() (*Cursor, error) { return r.Open(text[:12], c.Tenant, c.Query, 0) }, ErrForm},
		"too long":       {func() (*Cursor, error) { return r.Open(strings.Repeat("A", Most+1), c.Tenant, c.Query, 0) }, ErrForm},
		"no base64":      {func() (*Cursor, error) { return r.Open("!"+text, c.Tenant, c.Query, 0) }, ErrForm},
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
		_, err := r.Open(string(b), c.Tenant, c.Query, 0)
		require.Error(t, err, i)
	}
	require.NotEqual(t, Digest("ab", []byte("c")), Digest("a", []byte("bc")), "class and clauses do not run together")
}

func TestKeysChangeInService(t *testing.T) {
	old, c := ring(t, key("a", 1)), sample()
	text, err := old.Seal(c)
	require.NoError(t, err)
	both := ring(t, key("b", 2), key("a", 1))
	_, err = both.Open(text, c.Tenant, c.Query, 0)
	require.NoError(t, err, "the key before still opens")
	next, err := both.Seal(c)
	require.NoError(t, err)
	_, err = ring(t, key("b", 2)).Open(next, c.Tenant, c.Query, 0)
	require.NoError(t, err, "the new one seals")
	for _, bad := range [][]Key{nil, {key("a", 1), key("a", 2)}, {{Name: "a"}}, {key("", 1)},
		{key("a", 1), key("b", 2), key("c", 3)}} {
		_, err := NewRing(bad, rand.Reader)
		require.Error(t, err)
	}
}

func TestLongCursorIsNoCursor(t *testing.T) {
	r, c := ring(t, key("a", 1)), sample()
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
	require.ErrorIs(t, err, ErrLong)
}

// A slice that was missing comes back, one that was read is gone, one has newer data; slices were cut anew meanwhile.
func TestChangedBetweenPages(t *testing.T) {
	c := sample()
	back, gone, other := c.Changed([]Span{{0, 5, 3, 9}, {5, 15, 0, 9}, {15, 25, 4, 9}, {25, 30, 5, 9}})
	require.Equal(t, []Span{{15, 20, 4, 9}}, back)
	require.Equal(t, []Span{{5, 10, 0, 9}}, gone)
	require.Equal(t, []Span{{25, 30, 5, 9}}, other)
	back, gone, other = c.Changed([]Span{{0, 10, 3, 9}, {10, 20, 0, 9}, {20, 30, 4, 9}})
	require.Empty(t, append(append(back, gone...), other...))
}

func FuzzOpen(f *testing.F) {
	r, c := ring(f, key("a", 1)), sample()
	text, err := r.Seal(c)
	require.NoError(f, err)
	f.Add(text)
	f.Add("AWEAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, s string) {
		got, err := r.Open(s, c.Tenant, c.Query, 0)
		if err == nil && s != text && got.Next < 1 {
			t.Fatal(got)
		}
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	r, c := ring(b, key("a", 1)), sample()
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
		if _, err := r.Open(text, c.Tenant, c.Query, 0); err != nil {
			b.Fatal(err)
		}
	}
}
