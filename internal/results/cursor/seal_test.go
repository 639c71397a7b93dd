package cursor

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSealAndOpen(t *testing.T) {
	ring := newKeyRing(t, newKey("2026-12", 1))
	sealed := newCursor()
	text, err := ring.Seal(sealed)
	require.NoError(t, err)
	opened, err := ring.Open(text, sealed.Tenant, sealed.QueryDigest, 4999)
	require.NoError(t, err)
	require.Equal(t, sealed, opened)
	require.NotContains(t, text, "gangasagar")
	again, err := ring.Seal(sealed)
	require.NoError(t, err)
	require.NotEqual(t, text, again, "a client cannot tell that two sealed cursors are equal")
	sealed.After = nil
	text, err = ring.Seal(sealed)
	require.NoError(t, err)
	opened, err = ring.Open(text, sealed.Tenant, sealed.QueryDigest, 0)
	require.NoError(t, err)
	require.Nil(t, opened.After)
}

func TestOpenErrors(t *testing.T) {
	ring := newKeyRing(t, newKey("a", 1))
	sealed := newCursor()
	text, err := ring.Seal(sealed)
	require.NoError(t, err)
	for name, test := range map[string]struct {
		ring   *KeyRing
		text   string
		tenant string
		digest [32]byte
		nowMs  int64
		want   error
	}{
		"expired":      {ring, text, sealed.Tenant, sealed.QueryDigest, 5000, ErrExpired},
		"other tenant": {ring, text, "teesta", sealed.QueryDigest, 0, ErrOtherTenant},
		"other query":  {ring, text, sealed.Tenant, Digest("quote", []byte("{}")), 0, ErrOtherQuery},
		"unknown key":  {newKeyRing(t, newKey("b", 2)), text, sealed.Tenant, sealed.QueryDigest, 0, ErrUnknownKey},
		"other secret": {newKeyRing(t, newKey("a", 2)), text, sealed.Tenant, sealed.QueryDigest, 0, ErrNotAuthentic},
		"empty":        {ring, "", sealed.Tenant, sealed.QueryDigest, 0, ErrMalformed},
		"truncated":    {ring, text[:12], sealed.Tenant, sealed.QueryDigest, 0, ErrMalformed},
		"too long":     {ring, strings.Repeat("A", MaxSealedBytes+1), sealed.Tenant, sealed.QueryDigest, 0, ErrMalformed},
		"not base64":   {ring, "!" + text, sealed.Tenant, sealed.QueryDigest, 0, ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := test.ring.Open(test.text, test.tenant, test.digest, test.nowMs)
			require.ErrorIs(t, err, test.want)
		})
	}
}

func TestOpenRejectsEveryChangedCharacter(t *testing.T) {
	ring := newKeyRing(t, newKey("a", 1))
	sealed := newCursor()
	text, err := ring.Seal(sealed)
	require.NoError(t, err)
	for i := range text {
		changed := []byte(text)
		changed[i] = 'A'
		if text[i] == 'A' {
			changed[i] = 'B'
		}
		_, err := ring.Open(string(changed), sealed.Tenant, sealed.QueryDigest, 0)
		require.Error(t, err, i)
	}
}

// A cursor must stay short if many adjacent shards were read at one version. If they cannot be joined, the cursor
// must be rejected as too long rather than grow without bound.
func TestSealJoinsSpansAndLimitsLength(t *testing.T) {
	ring := newKeyRing(t, newKey("a", 1))
	sealed := newCursor()
	sealed.Spans = nil
	for i := range 20_000 {
		sealed.Spans = append(sealed.Spans, Span{i, i + 1, 7, 1})
	}
	text, err := ring.Seal(sealed)
	require.NoError(t, err, "adjacent spans of one version are joined")
	require.Less(t, len(text), 500)
	for i := range sealed.Spans {
		sealed.Spans[i].Version = uint64(1000 + i%2)
	}
	_, err = ring.Seal(sealed)
	require.ErrorIs(t, err, ErrTooLong)
}

// FuzzOpen checks that a text other than the sealed cursor is rejected or has a valid rank.
func FuzzOpen(f *testing.F) {
	ring := newKeyRing(f, newKey("a", 1))
	sealed := newCursor()
	text, err := ring.Seal(sealed)
	require.NoError(f, err)
	f.Add(text)
	f.Add("AWEAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, fuzzed string) {
		opened, err := ring.Open(fuzzed, sealed.Tenant, sealed.QueryDigest, 0)
		if err == nil && fuzzed != text && opened.NextRank < 1 {
			t.Fatal(opened)
		}
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	ring := newKeyRing(b, newKey("a", 1))
	sealed := newCursor()
	sealed.Spans = nil
	for i := range 200 {
		sealed.Spans = append(sealed.Spans, Span{i, i + 1, uint64(i), 1})
	}
	b.ReportAllocs()
	for range b.N {
		text, err := ring.Seal(sealed)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ring.Open(text, sealed.Tenant, sealed.QueryDigest, 0); err != nil {
			b.Fatal(err)
		}
	}
}
