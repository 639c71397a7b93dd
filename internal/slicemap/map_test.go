package slicemap

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestAgainstModel draws histories of changes, good and bad, and holds the map against a table of districts.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := started(t, 4, 16)
		nodes := []string{"a", "b", "c", "d", "e"}
		executor := make([][]string, 64) // by district: the model's own
		for i := range executor {
			executor[i] = slices.Sorted(slices.Values(m.Current().ShardAt(i).Replicas))
		}
		next := 4
		type snapshot struct {
			v    *Version
			text string
		}
		var held []snapshot
		text := func(v *Version) (out string) {
			v.All(func(s *Shard) bool {
				out += fmt.Sprint(s.ID, s.Range, s.Replicas, s.State, s.From, s.To, ";")
				return true
			})
			return out
		}
		one := func(label string) *Shard { return m.Current().ShardAt(rapid.IntRange(0, 63).Draw(t, label)) }
		t.Repeat(map[string]func(*rapid.T){
			"split": func(t *rapid.T) {
				s, at := one("d"), rapid.IntRange(0, 63).Draw(t, "at")
				_, err := m.Apply([]Change{step(m, Change{Kind: Split, Shard: s.ID, At: at, Into: []ShardID{next, next + 1}})}, nil)
				require.Equal(t, at > s.Start && at < s.End, err == nil)
				next += 2
			},
			"merge": func(t *rapid.T) {
				a, b := one("a"), one("b")
				_, err := m.Apply([]Change{step(m, Change{Kind: Merge, Shard: a.ID, Other: b.ID, Into: []ShardID{next}})}, nil)
				same := slices.Equal(executor[a.Start], executor[b.Start])
				require.Equal(t, (a.End == b.Start || b.End == a.Start) && a.State == Serving && b.State == Serving && same, err == nil)
				next++
			},
			"move": func(t *rapid.T) {
				s := one("d")
				from, to := rapid.SampledFrom(nodes).Draw(t, "from"), rapid.SampledFrom(nodes).Draw(t, "to")
				_, err := m.Apply([]Change{step(m, Change{Kind: Move, Shard: s.ID, From: from, To: to})}, nodes)
				require.Equal(t, s.State == Serving && slices.Contains(s.Replicas, from) && !slices.Contains(s.Replicas, to), err == nil)
			},
			"handover": func(t *rapid.T) {
				s := one("d")
				_, err := m.Apply([]Change{step(m, Change{Kind: Handover, Shard: s.ID})}, nil)
				if require.Equal(t, s.State == Preparing, err == nil); err == nil {
					for d := s.Start; d < s.End; d++ {
						x := slices.Clone(executor[d])
						x[slices.Index(x, s.From)] = s.To
						executor[d] = slices.Sorted(slices.Values(x))
					}
				}
			},
			"done": func(t *rapid.T) {
				s := one("d")
				_, err := m.Apply([]Change{step(m, Change{Kind: Done, Shard: s.ID})}, nil)
				require.Equal(t, s.State == HandingOver, err == nil)
			},
			"abort": func(t *rapid.T) {
				s := one("d")
				_, err := m.Apply([]Change{step(m, Change{Kind: Abort, Shard: s.ID})}, nil)
				require.Equal(t, s.State != Serving, err == nil)
				for d := s.Start; err == nil && s.State == HandingOver && d < s.End; d++ {
					executor[d] = slices.Sorted(slices.Values(s.Replicas))
				}
			},
			"hold": func(t *rapid.T) {
				v := m.Acquire()
				held = append(held, snapshot{v, text(v)})
			},
			"free": func(t *rapid.T) {
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "i")
					m.Release(held[i].v)
					held = slices.Delete(held, i, i+1)
				}
			},
			"whole": func(t *rapid.T) {
				w := Snapshot{Epoch: m.Current().Epoch + 3, Buckets: 64}
				m.Current().All(func(s *Shard) bool { c := *s; w.Shards = append(w.Shards, &c); return true })
				retired, err := m.Reset(w)
				require.NoError(t, err)
				require.Empty(t, retired)
			},
			"": func(t *rapid.T) {
				v, at, groups := m.Current(), 0, map[string]int{}
				v.All(func(s *Shard) bool {
					require.Equal(t, at, s.Start)
					require.Same(t, s, v.Shard(s.ID))
					require.Same(t, s, m.Shard(s.ID))
					names := slices.Sorted(slices.Values(s.Executors()))
					for at = s.Start; at < s.End; at++ {
						require.Equal(t, executor[at], names)
						require.Same(t, s, v.ShardAt(at))
					}
					g, known := groups[fmt.Sprint(names)]
					require.True(t, !known || g == m.Group(s.ID), "one group for one set of holders")
					groups[fmt.Sprint(names)] = m.Group(s.ID)
					require.Len(t, m.Replicas(m.Group(s.ID)), len(names))
					return true
				})
				require.Equal(t, 64, at)
				require.Equal(t, v.Len(), len(m.shards))
				moving := m.ShardsInMotion()
				v.All(func(s *Shard) bool {
					require.Equal(t, s.State != Serving, slices.Contains(moving, s))
					return true
				})
				require.Equal(t, len(moving), m.Stats().ShardsInMotion)
				require.Equal(t, len(groups), m.Stats().Groups, "no group is left behind")
				for id := range next {
					if r, err := m.Resolve(id); err == nil {
						legs := v.Route(nil, id, r)
						require.NoError(t, NewCoverage(r, []Segment{{id, r}}).Replace(r, legs))
					}
				}
				for _, h := range held {
					require.Equal(t, h.text, text(h.v), "a version never changes")
				}
			},
		})
	})
}
