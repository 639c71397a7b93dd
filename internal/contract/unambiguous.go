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

// queryNames are the names of a query's body, beside epoch under resharding.
var queryNames = []string{"shards", "shard", "weight", "cost", "key", "q"}

// checkUnambiguous refuses a text that readers of JSON may understand differently: one that is not UTF-8, that has a
// name twice in one object, or that writes a name of a query in other case. It keeps out a query that backends
// understand otherwise than its client meant. Errors of syntax are left to the reader of the whole text.
func (c *Contracts) checkUnambiguous(text []byte) error {
	if !utf8.Valid(text) {
		return errors.New("not UTF-8")
	}
	names := nameChecker{resharding: c.Resharding}
	for decoder := json.NewDecoder(bytes.NewReader(text)); ; {
		token, err := decoder.Token()
		if err != nil {
			return nil
		}
		if err := names.check(token); err != nil {
			return err
		}
	}
}

// nameChecker checks the names in a row of tokens.
type nameChecker struct {
	resharding bool
	open       []container // innermost last
}

// container is an object or an array that has begun and not ended.
type container struct {
	names     map[string]bool // in lower case; nil for an array
	afterName bool            // of an object: the last name has no value yet, or its value is open
}

// check takes the next token.
func (n *nameChecker) check(token json.Token) error {
	if token == json.Delim('}') || token == json.Delim(']') {
		n.open = n.open[:len(n.open)-1]
		return nil
	}
	if n.advance() {
		name, _ := token.(string)
		return n.checkName(name)
	}
	switch token {
	case json.Delim('{'):
		n.open = append(n.open, container{names: map[string]bool{}})
	case json.Delim('['):
		n.open = append(n.open, container{})
	}
	return nil
}

// advance reports whether the next token, which ends no container, is a name. Names and values of an object alternate.
func (n *nameChecker) advance() (isName bool) {
	if len(n.open) == 0 {
		return false
	}
	innermost := &n.open[len(n.open)-1]
	if innermost.names == nil {
		return false
	}
	innermost.afterName = !innermost.afterName
	return innermost.afterName
}

// checkName takes the next name of the innermost object.
func (n *nameChecker) checkName(name string) error {
	names := n.open[len(n.open)-1].names
	lower := strings.ToLower(name)
	if names[lower] || lower != name && n.isQueryName(lower) {
		return fmt.Errorf("name %.40q", name)
	}
	names[lower] = true
	return nil
}

func (n *nameChecker) isQueryName(name string) bool {
	return slices.Contains(queryNames, name) || n.resharding && name == "epoch"
}
