package merge

// Column describes a column of a table.
type Column struct {
	Name     string
	Kind     Kind
	Currency string // for amounts of money, else ""
}

// Schema lists the columns of a table, in the order of the values of a row.
type Schema []Column

// Index returns the index of the column with the given name, or -1 if there is none.
func (s Schema) Index(name string) int {
	for i, column := range s {
		if column.Name == name {
			return i
		}
	}
	return -1
}

// CheckCompatible returns nil if rows of both schemas can be merged, else an error that names the first difference.
func (s Schema) CheckCompatible(other Schema) error {
	if len(s) != len(other) {
		return invalid(NoRow, ErrSchemaMismatch, "%d columns, not %d", len(other), len(s))
	}
	for i, want := range s {
		got := other[i]
		if want.Name != got.Name || want.Kind != got.Kind {
			return invalid(NoRow, ErrSchemaMismatch, "column %q of kind %v, not %q of kind %v", got.Name, got.Kind,
				want.Name, want.Kind)
		}
		if want.Currency != got.Currency {
			return invalid(NoRow, ErrCurrencyMismatch, "column %q in currency %q, not %q", want.Name, got.Currency,
				want.Currency)
		}
	}
	return nil
}
