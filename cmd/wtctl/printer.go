package main

import (
	"encoding/json"
	"fmt"
	"io"

	"wardtray/apierror"
)

// printer writes text and keeps the first error, after which it writes nothing. Its callers print line by line and
// check the error once, at the end.
type printer struct {
	writer io.Writer
	err    error
}

// Write implements io.Writer.
func (printer *printer) Write(content []byte) (int, error) {
	if printer.err != nil {
		return 0, printer.err
	}
	written, err := printer.writer.Write(content)
	printer.err = err
	return written, err
}

// printf formats as fmt.Printf does.
func (printer *printer) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(printer, format, values...) // The printer keeps the error.
}

// printJSON prints a value as indented JSON.
func (printer *printer) printJSON(value any) error {
	encoder := json.NewEncoder(printer)
	encoder.SetIndent("", "  ")
	return apierror.Wrap(encoder.Encode(value), apierror.Internal, "printing")
}
