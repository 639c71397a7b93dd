package contract

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
)

// queryNames are the names in a request's body, in addition to epoch under resharding.
var queryNames = []string{"shards", "shard", "weight", "cost", "key", "q"}

// errSyntax is wrapped by the errors of checkUnambiguous for a text that is not JSON.
var errSyntax = errors.New("not JSON")

// maxListedNames is the number of names of an object up to which they are searched one by one.
const maxListedNames = 8

// checkUnambiguous returns an error for a text that JSON parsers may interpret differently: it is not UTF-8, has a
// name twice in one object, whatever the letter case, or has a name of a request's body in another letter case.
// Backends might otherwise understand a request differently from what its client meant. A syntax error is returned as
// errSyntax, and the names behind it are not checked.
func (c *Contracts) checkUnambiguous(text []byte) error {
	if !utf8.Valid(text) {
		return errors.New("not UTF-8")
	}
	names := nameChecker{resharding: c.Resharding}
	decoder := jsontext.NewDecoder(bytes.NewBuffer(text), jsontext.AllowDuplicateNames(true),
		jsontext.AllowInvalidUTF8(true)) // escapes of half a surrogate pair are checked later
	for {
		token, err := decoder.ReadToken()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errSyntax, err)
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
	isObject  bool
	afterName bool            // for an object: the value of the last name is missing or has not ended
	names     []string        // of an object, in lower case: the first maxListedNames of them
	moreNames map[string]bool // further names; nil if there are none
}

// check processes the next token and returns an error if the token is an ambiguous name.
func (n *nameChecker) check(token jsontext.Token) error {
	kind := token.Kind()
	if kind == jsontext.KindEndObject || kind == jsontext.KindEndArray {
		n.openContainers = n.openContainers[:len(n.openContainers)-1]
		return nil
	}
	if n.advance() {
		return n.checkName(token.String())
	}
	if kind == jsontext.KindBeginObject || kind == jsontext.KindBeginArray {
		n.open(kind == jsontext.KindBeginObject)
	}
	return nil
}

// open adds a container. It reuses the memory of one that has ended.
func (n *nameChecker) open(isObject bool) {
	depth := len(n.openContainers)
	if depth < cap(n.openContainers) {
		n.openContainers = n.openContainers[:depth+1]
		names := n.openContainers[depth].names[:0]
		n.openContainers[depth] = container{isObject: isObject, names: names}
		return
	}
	n.openContainers = append(n.openContainers, container{isObject: isObject})
}

// advance reports whether the next token is a name. The token must not end a container. Names and values of an object
// alternate.
func (n *nameChecker) advance() (isName bool) {
	if len(n.openContainers) == 0 {
		return false
	}
	innermost := &n.openContainers[len(n.openContainers)-1]
	if !innermost.isObject {
		return false
	}
	innermost.afterName = !innermost.afterName
	return innermost.afterName
}

// checkName checks and records the next name of the innermost object.
func (n *nameChecker) checkName(name string) error {
	innermost := &n.openContainers[len(n.openContainers)-1]
	lower := strings.ToLower(name)
	if innermost.contains(lower) || lower != name && n.isQueryName(lower) {
		return fmt.Errorf("name %.40q", name)
	}
	innermost.add(lower)
	return nil
}

// contains reports whether the object has a name.
func (c *container) contains(lower string) bool {
	return slices.Contains(c.names, lower) || c.moreNames[lower]
}

// add records a name of the object.
func (c *container) add(lower string) {
	if len(c.names) < maxListedNames {
		c.names = append(c.names, lower)
		return
	}
	if c.moreNames == nil {
		c.moreNames = map[string]bool{}
	}
	c.moreNames[lower] = true
}

// isQueryName reports whether a name in lower case is one of the names in a request's body.
func (n *nameChecker) isQueryName(name string) bool {
	return slices.Contains(queryNames, name) || n.resharding && name == "epoch"
}
