package main

import (
	"io"
	"text/tabwriter"

	"wardtray/apierror"
)

// The layout of tables: columns are padded with blanks, and at least so many stand between two.
const (
	columnPadding = 2
	tabWidth      = 4
)

// table prints rows whose columns are separated by tabs, aligned when it is flushed.
type table struct {
	*printer
	columns *tabwriter.Writer
}

func newTable(output io.Writer) *table {
	columns := tabwriter.NewWriter(output, 0, tabWidth, columnPadding, ' ', 0)
	return &table{printer: &printer{writer: columns}, columns: columns}
}

// flush prints the rows; it returns the first error of the table.
func (table *table) flush() error {
	err := table.err
	if err == nil {
		err = table.columns.Flush()
	}
	return apierror.Wrap(err, apierror.Internal, "printing")
}
