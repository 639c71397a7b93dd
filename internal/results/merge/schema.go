package merge

// Column is a column of a table.
type Column struct {
	Name     string
	Kind     Kind
	Currency string // of a column of money; "" for any other
}

// Schema is the columns of a table, in the order of a row's values.
type Schema []Column

// Index is the index of the column with a name; -1 if there is none.
func (s Schema) Index(name string) int {
	for i, c := range s {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// CheckCompatible returns nil if rows of both schemas can be merged, else an error with the first difference.
func (s Schema) CheckCompatible(o Schema) error {
	if len(s) != len(o) {
		return invalid(-1, ErrSchemaMismatch, "%d columns, not %d", len(o), len(s))
	}
	for i, c := range s {
		switch d := o[i]; {
		case c.Name != d.Name || c.Kind != d.Kind:
			return invalid(-1, ErrSchemaMismatch, "%s %v, not %s %v", d.Name, d.Kind, c.Name, c.Kind)
		case c.Currency != d.Currency:
			return invalid(-1, ErrCurrencyMismatch, "%s in %q, not %q", c.Name, d.Currency, c.Currency)
		}
	}
	return nil
}
