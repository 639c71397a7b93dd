package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSuspendResume(t *testing.T) {
	b := NewSuspensions()
	b.MemberListed("s-1")
	b.MemberListed("s-2")
	for _, c := range []struct {
		name    string
		do      func(string) CallResult
		id      string
		status  int
		changed bool
		held    []string
	}{
		{"suspend", b.Suspend, "s-1", 200, true, []string{"s-1"}},
		{"again", b.Suspend, "s-1", 200, false, []string{"s-1"}},
		{"never listed", b.Suspend, "s-9", 404, false, []string{"s-1"}},
		{"not an id", b.Suspend, "s 1", 400, false, []string{"s-1"}},
		{"empty", b.Suspend, "", 400, false, []string{"s-1"}},
		{"resume one not held", b.Resume, "s-2", 200, false, []string{"s-1"}},
		{"resume never listed", b.Resume, "s-9", 404, false, []string{"s-1"}},
		{"resume", b.Resume, "s-1", 200, true, []string{}},
		{"resume again", b.Resume, "s-1", 200, false, []string{}},
	} {
		v := c.do(c.id)
		assert.Equal(t, c.status, v.Status, c.name)
		assert.Equal(t, c.changed, v.Changed, c.name)
		assert.Equal(t, c.held, b.IDs(), c.name)
	}
}

func TestBounds(t *testing.T) {
	b := NewSuspensions()
	for i := range MaxSuspended + 1 {
		b.MemberListed(fmt.Sprint("s-", i))
	}
	for i := range MaxSuspended {
		require.True(t, b.Suspend(fmt.Sprint("s-", i)).OK())
	}
	v := b.Suspend(fmt.Sprint("s-", MaxSuspended))
	assert.Equal(t, 507, v.Status, "over the bound of held leafs")
	assert.True(t, b.Suspend("s-0").OK(), "one held already is still a yes")

	for i := range MaxKnownIDs + 10 {
		b.MemberListed(fmt.Sprint("t-", i))
	}
	assert.Equal(t, uint64(MaxSuspended+1+10), b.Forgotten, "the oldest ids are let go, and counted")
	assert.Len(t, b.seen, MaxKnownIDs)
	assert.True(t, b.Suspended("s-0"), "what is held is not forgotten with the ids")
	assert.True(t, b.Resume("s-0").OK(), "a held leaf can be resumed when its id is forgotten")
	assert.False(t, ValidID(string(make([]byte, MaxID+1))))
}

func TestTake(t *testing.T) {
	b := NewSuspensions()
	b.MemberListed("a")
	b.MemberListed("b")
	b.Suspend("a")
	added, freed := b.Replace([]string{"b", "c", "bad id"})
	assert.Equal(t, []string{"b", "c"}, added)
	assert.Equal(t, []string{"a"}, freed)
	assert.Equal(t, []string{"b", "c"}, b.IDs())
	assert.True(t, b.Resume("c").Changed, "an id from the file counts as listed")
	added, freed = b.Replace([]string{"b"})
	assert.Empty(t, added)
	assert.Empty(t, freed, "what is so already is no change")
}

func TestFile(t *testing.T) {
	ids := []string{"s-1", "s-2", "s-c9f39196"}
	text := EncodeSuspensions(ids)
	got, err := DecodeSuspensions(text)
	require.NoError(t, err)
	assert.Equal(t, ids, got)
	got, err = DecodeSuspensions(EncodeSuspensions(nil))
	require.NoError(t, err)
	assert.Empty(t, got)

	// Torn at every byte: never taken for another set.
	for n := range len(text) - 1 {
		_, err := DecodeSuspensions(text[:n])
		assert.ErrorIs(t, err, ErrSuspensionFile, "torn at %d", n)
	}
	for _, c := range []struct{ text, says string }{
		{`{"form":"ternstage held leafs","version":2,"held":[],"sum":0}`, "version 2"},
		{`{"form":"another","version":1,"held":[],"sum":0}`, "form"},
		{`{"form":"ternstage held leafs","version":1,"held":["s-1"],"sum":7}`, "field sum"},
		{fmt.Sprintf(`{"form":"ternstage held leafs","version":1,"held":["a b"],"sum":%d}`, sum([]string{"a b"})),
			"field held[0]"},
	} {
		_, err := DecodeSuspensions([]byte(c.text))
		assert.ErrorIs(t, err, ErrSuspensionFile)
		assert.ErrorContains(t, err, c.says)
	}
	_, err = DecodeSuspensions(make([]byte, MaxSuspensionFileBytes+1))
	assert.ErrorContains(t, err, "bytes, over")
}

// TestFileFlips: a flipped byte anywhere is refused or reads as the same set, never as another one.
func TestFileFlips(t *testing.T) {
	ids := []string{"s-1", "s-2", "s-3"}
	text := EncodeSuspensions(ids)
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		spoilt := append([]byte(nil), text...)
		spoilt[r.IntN(len(spoilt))] ^= byte(1 + r.IntN(255))
		got, err := DecodeSuspensions(spoilt)
		if err == nil {
			assert.Equal(t, ids, got, "%s", spoilt)
		}
	}
}

func TestDrain(t *testing.T) {
	var d Drain
	assert.True(t, d.Healthy(true))
	assert.False(t, d.Healthy(false), "not ready is not healthy")
	assert.True(t, d.Activate().OK())
	assert.False(t, d.Activate().Changed, "activate while serving changes nothing")

	v := d.Drain(1000)
	assert.True(t, v.Changed)
	assert.False(t, d.Drain(1300).Changed, "a repeated drain keeps its first time")
	assert.False(t, d.Healthy(true))
	for _, c := range []struct {
		at    float64
		phase Phase
	}{{1000, Draining}, {1000 + CloseAfterMs - 1, Draining}, {1000 + CloseAfterMs, ClosingConnections},
		{1000 + CloseIdleAfterMs - 1, ClosingConnections}, {1000 + CloseIdleAfterMs, ClosingIdle}, {1000 + DrainedByMs, ClosingIdle}} {
		assert.Equal(t, c.phase, d.Phase(c.at), "at %v", c.at)
	}
	assert.Less(t, CloseIdleAfterMs+500, DrainedByMs, "what lingers after the last answers is gone by EmptyBy")
	assert.Equal(t, 1000.0, d.Since())
	assert.True(t, d.Activate().Changed)
	assert.Equal(t, Serving, d.Phase(9000))
	assert.True(t, d.Healthy(true))
	d.Drain(9000)
	assert.Equal(t, Draining, d.Phase(9001), "a new drain begins anew")
}
