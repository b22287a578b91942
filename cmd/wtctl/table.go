package main

import (
	"io"
	"text/tabwriter"

	"wardtray/apierror"
)

// The layout of tables: columns are padded with blanks, at least columnPadding of them between two columns.
const (
	columnPadding = 2
	tabWidth      = 4
)

// table prints rows whose columns are separated by tabs, and aligns them when it is flushed.
type table struct {
	*printer
	columns *tabwriter.Writer
}

func newTable(output io.Writer) *table {
	columns := tabwriter.NewWriter(output, 0, tabWidth, columnPadding, ' ', 0)
	return &table{printer: &printer{writer: columns}, columns: columns}
}

// flush writes the rows and returns the table's first error.
func (table *table) flush() error {
	err := table.err
	if err == nil {
		err = table.columns.Flush()
	}
	return apierror.Wrap(err, apierror.Internal, "printing")
}
