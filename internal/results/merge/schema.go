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
	for i, column := range s {
		if column.Name == name {
			return i
		}
	}
	return -1
}

// CheckCompatible returns nil if rows of both schemas can be merged, else an error with the first difference.
func (s Schema) CheckCompatible(other Schema) error {
	if len(s) != len(other) {
		return invalid(NoRow, ErrSchemaMismatch, "%d columns, not %d", len(other), len(s))
	}
	for i, want := range s {
		got := other[i]
		if want.Name != got.Name || want.Kind != got.Kind {
			return invalid(NoRow, ErrSchemaMismatch, "%s %v, not %s %v", got.Name, got.Kind, want.Name, want.Kind)
		}
		if want.Currency != got.Currency {
			return invalid(NoRow, ErrCurrencyMismatch, "%s in %q, not %q", want.Name, got.Currency, want.Currency)
		}
	}
	return nil
}
