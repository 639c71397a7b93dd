package maintenance

import (
	"fmt"
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
	assert.Equal(t, uint64(MaxSuspended+1+10), b.ForgottenIDs, "the oldest ids are let go, and counted")
	assert.Len(t, b.known, MaxKnownIDs)
	assert.True(t, b.Suspended("s-0"), "what is held is not forgotten with the ids")
	assert.True(t, b.Resume("s-0").OK(), "a held leaf can be resumed when its id is forgotten")
	assert.False(t, ValidID(string(make([]byte, MaxIDBytes+1))))
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
