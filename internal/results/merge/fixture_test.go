package merge

import (
	"flag"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// CI must say the same every time; -rapid.seed=0 on the command line draws new tables.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var table = Schema{{Name: "premium", Kind: Int, Currency: "INR"}, {Name: "risk", Kind: Float}, {Name: "insurer", Kind: Text}}

func row(district int, key string, premium int64, risk float64) Row {
	return Row{District: district, Key: key, Values: []Value{IntOf(premium), FloatOf(risk), TextOf("a")}}
}

func order(t require.TestingT, by ...By) *Order {
	o, err := NewOrder(table, by)
	require.NoError(t, err)
	return o
}

// node answers as a slice's node does: its rows in order, after a place, so many at most.
func node(o *Order, all []Row, r shardmap.Range, after *Place, most int) *Batch {
	b := &Batch{Districts: r, Version: 1, Schema: table}
	for _, x := range all {
		if x.District >= r.Start && x.District < r.End && (after == nil || o.Compare(o.PlaceOf(x), *after) > 0) {
			if len(b.Rows) == most {
				b.More = true
				break
			}
			b.Rows = append(b.Rows, x)
		}
	}
	return b
}
