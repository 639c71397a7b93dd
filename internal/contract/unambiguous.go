package contract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// checkUnambiguous tells whether a text is JSON that all readers understand alike: UTF-8, each name of an object once,
// and the names of a query as they are written. Guards against a query that nodes are sent otherwise than
// its client meant.
func (b *Contracts) checkUnambiguous(text []byte) error {
	if !utf8.Valid(text) {
		return errors.New("not UTF-8")
	}
	type object struct {
		names map[string]bool // nil for a list
		value bool            // the next token is a value, not a name
	}
	var open []object
	for d := json.NewDecoder(bytes.NewReader(text)); ; {
		t, err := d.Token()
		if err != nil {
			return nil // its end, or an error that reading it whole names
		}
		in := len(open) - 1
		if delim, ok := t.(json.Delim); ok && (delim == '}' || delim == ']') {
			open = open[:in]
			continue
		}
		if in >= 0 && open[in].names != nil {
			if open[in].value = !open[in].value; open[in].value {
				name, _ := t.(string)
				low := strings.ToLower(name)
				if open[in].names[low] || low != name && (slices.Contains(queryNames, low) || b.Resharding && low == "epoch") {
					return fmt.Errorf("name %.40q", name)
				}
				open[in].names[low] = true
				continue
			}
		}
		switch t {
		case json.Delim('{'):
			open = append(open, object{names: map[string]bool{}})
		case json.Delim('['):
			open = append(open, object{})
		}
	}
}

var queryNames = []string{"shards", "shard", "weight", "cost", "key", "q"}
