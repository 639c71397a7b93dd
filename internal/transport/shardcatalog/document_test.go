package shardcatalog

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// largeDocument returns a snapshot at epoch 5 with shards of 8 buckets each.
func largeDocument(shards int) Document {
	document := Document{Epoch: 5, Complete: true, Buckets: 8 * shards}
	for i := range shards {
		document.Shards = append(document.Shards, Shard{ID: i, Lo: 8 * i, Hi: 8*i + 8, Replicas: []string{"a", "b", "c"}})
	}
	return document
}

// TestDocumentsAreTranslatedBothWays guards the format of the wire and of the files that older versions have written:
// a parsed document, formatted again, has the same text.
func TestDocumentsAreTranslatedBothWays(t *testing.T) {
	for name, text := range map[string]string{
		"snapshot": `{"epoch":7,"complete":true,"districts":40,"nodes":["a","b","c"],"slices":[` +
			`{"id":0,"lo":0,"hi":10,"holders":["a","b"],"state":"serving","since":1},` +
			`{"id":4,"lo":10,"hi":20,"holders":["a","b"],"state":"preparing","from":"a","to":"c","since":6,"parents":[1]},` +
			`{"id":5,"lo":20,"hi":40,"holders":["a"],"state":"handing-over","from":"a","to":"c","since":7,"parents":[2,3]}],` +
			`"retired":[{"id":1,"lo":10,"hi":20}]}`,
		"changes": `{"epoch":8,"complete":false,"nodes":["a"],"changes":[` +
			`{"base":1,"epoch":2,"kind":"split","slice":3,"at":4,"into":[5,6]},` +
			`{"base":2,"epoch":3,"kind":"merge","slice":5,"other":6,"into":[7]},` +
			`{"base":3,"epoch":4,"kind":"move","slice":7,"from":"a","to":"b"},` +
			`{"base":4,"epoch":5,"kind":"handover","slice":7},` +
			`{"base":5,"epoch":6,"kind":"done","slice":7},` +
			`{"base":6,"epoch":7,"kind":"abort","slice":7},` +
			`{"base":7,"epoch":8,"kind":"assign","slice":7,"holders":["c"]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			update, err := Parse([]byte(text))
			require.NoError(t, err)
			formatted, err := json.Marshal(format(t, update))
			require.NoError(t, err)
			require.Equal(t, text, string(formatted))
		})
	}
}

// format returns the document of an update.
func format(t *testing.T, update Update) Document {
	t.Helper()
	if update.Snapshot == nil {
		document := Document{Epoch: update.Changes[len(update.Changes)-1].Epoch, Backends: update.Backends}
		for _, change := range update.Changes {
			document.Changes = append(document.Changes, FormatChange(change))
		}
		return document
	}
	m := shardmap.New(shardmap.Options{})
	_, err := m.Reset(*update.Snapshot)
	require.NoError(t, err)
	return FormatSnapshot(m.Current(), update.Backends, m.Retired(9))
}

func TestMalformedDocumentsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"truncated JSON":      `{`,
		"no epoch":            `{"complete":true}`,
		"unknown state":       `{"epoch":1,"complete":true,"slices":[{"state":"lent"}]}`,
		"unknown kind":        `{"epoch":1,"changes":[{"epoch":1,"kind":"lend"}]}`,
		"epochs do not match": `{"epoch":2,"changes":[{"epoch":1,"kind":"done"}]}`,
	} {
		_, err := Parse([]byte(text))
		require.ErrorIs(t, err, ErrMalformedDocument, name)
	}
}

func TestShardsInMotionAreLimited(t *testing.T) {
	m := newMap(t, 4)
	require.Equal(t, []Shard{}, ShardsInMotion(m, 2), "an empty list, not null")
	for id := range 3 {
		epoch := m.Current().Epoch
		move := shardmap.Change{Base: epoch, Epoch: epoch + 1, Kind: shardmap.Move, Shard: id, From: "a", To: "d"}
		_, err := m.Apply([]shardmap.Change{move}, nil)
		require.NoError(t, err)
	}
	inMotion := ShardsInMotion(m, 2)
	require.Len(t, inMotion, 2)
	require.Equal(t, 0, inMotion[0].ID)
	require.Equal(t, 1, inMotion[1].ID)
}

// BenchmarkParse100000 measures parsing a large answer, which is done outside the event loop.
func BenchmarkParse100000(b *testing.B) {
	text, err := json.Marshal(largeDocument(100_000))
	require.NoError(b, err)
	for range b.N {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReset100000 measures applying a large answer, which is done on the event loop.
func BenchmarkReset100000(b *testing.B) {
	text, err := json.Marshal(largeDocument(100_000))
	require.NoError(b, err)
	for range b.N {
		b.StopTimer()
		update, err := Parse(text)
		require.NoError(b, err)
		m := shardmap.New(shardmap.Options{})
		b.StartTimer()
		if _, err := m.Reset(*update.Snapshot); err != nil {
			b.Fatal(err)
		}
	}
}
