package maintenance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newSuspensionsWithListed returns a set that knows the ids and has none suspended.
func newSuspensionsWithListed(ids ...string) *Suspensions {
	s := NewSuspensions()
	for _, id := range ids {
		s.EndpointListed(id)
	}
	return s
}

// TestSuspendResume makes the calls of the table one after the other on the same set.
func TestSuspendResume(t *testing.T) {
	s := newSuspensionsWithListed("s-1", "s-2")
	for _, test := range []struct {
		name      string
		call      func(string) CallResult
		id        string
		status    int
		changed   bool
		suspended []string
	}{
		{"suspend", s.Suspend, "s-1", 200, true, []string{"s-1"}},
		{"suspend again", s.Suspend, "s-1", 200, false, []string{"s-1"}},
		{"suspend an id never listed", s.Suspend, "s-9", 404, false, []string{"s-1"}},
		{"suspend an invalid id", s.Suspend, "s 1", 400, false, []string{"s-1"}},
		{"suspend an empty id", s.Suspend, "", 400, false, []string{"s-1"}},
		{"resume one not suspended", s.Resume, "s-2", 200, false, []string{"s-1"}},
		{"resume an id never listed", s.Resume, "s-9", 404, false, []string{"s-1"}},
		{"resume", s.Resume, "s-1", 200, true, []string{}},
		{"resume again", s.Resume, "s-1", 200, false, []string{}},
	} {
		result := test.call(test.id)
		assert.Equal(t, test.status, result.Status, test.name)
		assert.Equal(t, test.changed, result.Changed, test.name)
		assert.Equal(t, test.suspended, s.IDs(), test.name)
	}
}

func TestSuspensionBounds(t *testing.T) {
	s := NewSuspensions()
	for i := range MaxSuspended + 1 {
		s.EndpointListed(fmt.Sprint("s-", i))
	}
	for i := range MaxSuspended {
		require.True(t, s.Suspend(fmt.Sprint("s-", i)).OK())
	}
	result := s.Suspend(fmt.Sprint("s-", MaxSuspended))
	assert.Equal(t, 507, result.Status, "over the maximum of suspended backends")
	assert.True(t, s.Suspend("s-0").OK(), "a repeated call for a suspended backend succeeds at the maximum")

	for i := range MaxKnownIDs + 10 {
		s.EndpointListed(fmt.Sprint("t-", i))
	}
	assert.Equal(t, uint64(MaxSuspended+1+10), s.ForgottenIDs, "the oldest ids are forgotten, and counted")
	assert.Len(t, s.known, MaxKnownIDs)
	assert.True(t, s.Suspended("s-0"), "a forgotten id stays suspended")
	assert.True(t, s.Resume("s-0").OK(), "a backend can be resumed when its id is forgotten")
}

func TestReplace(t *testing.T) {
	s := newSuspensionsWithListed("a", "b")
	s.Suspend("a")
	added, resumed := s.Replace([]string{"b", "c", "bad id"})
	assert.Equal(t, []string{"b", "c"}, added)
	assert.Equal(t, []string{"a"}, resumed)
	assert.Equal(t, []string{"b", "c"}, s.IDs())
	assert.True(t, s.Resume("c").Changed, "an added id counts as listed")
	added, resumed = s.Replace([]string{"b"})
	assert.Empty(t, added)
	assert.Empty(t, resumed, "a backend that stays suspended is not reported")
}
