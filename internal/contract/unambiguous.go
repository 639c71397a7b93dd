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

// queryNames are the names in a request's body, in addition to epoch under resharding.
var queryNames = []string{"shards", "shard", "weight", "cost", "key", "q"}

// checkUnambiguous returns an error for a text that JSON parsers may interpret differently: it is not UTF-8, has a
// name twice in one object, whatever the letter case, or has a name of a request's body in another letter case.
// Backends might otherwise understand a request differently from what its client meant. Syntax errors are ignored
// here and left to the parser of the whole text.
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

// nameChecker checks the names in a sequence of JSON tokens.
type nameChecker struct {
	resharding     bool
	openContainers []container // containers that have not ended, innermost last
}

// container is a JSON object or array.
type container struct {
	names     map[string]bool // in lower case; nil for an array
	afterName bool            // for an object: the value of the last name is missing or has not ended
}

// check processes the next token and returns an error if the token is an ambiguous name.
func (n *nameChecker) check(token json.Token) error {
	if token == json.Delim('}') || token == json.Delim(']') {
		n.openContainers = n.openContainers[:len(n.openContainers)-1]
		return nil
	}
	if n.advance() {
		name, _ := token.(string)
		return n.checkName(name)
	}
	switch token {
	case json.Delim('{'):
		n.openContainers = append(n.openContainers, container{names: map[string]bool{}})
	case json.Delim('['):
		n.openContainers = append(n.openContainers, container{})
	}
	return nil
}

// advance reports whether the next token is a name. The token must not end a container. Names and values of an object
// alternate.
func (n *nameChecker) advance() (isName bool) {
	if len(n.openContainers) == 0 {
		return false
	}
	innermost := &n.openContainers[len(n.openContainers)-1]
	if innermost.names == nil {
		return false
	}
	innermost.afterName = !innermost.afterName
	return innermost.afterName
}

// checkName checks and records the next name of the innermost object.
func (n *nameChecker) checkName(name string) error {
	names := n.openContainers[len(n.openContainers)-1].names
	lower := strings.ToLower(name)
	if names[lower] || lower != name && n.isQueryName(lower) {
		return fmt.Errorf("name %.40q", name)
	}
	names[lower] = true
	return nil
}

// isQueryName reports whether a name in lower case is one of the names in a request's body.
func (n *nameChecker) isQueryName(name string) bool {
	return slices.Contains(queryNames, name) || n.resharding && name == "epoch"
}
