package main

import (
	"errors"
	"strings"
	"testing"
)

var errFull = errors.New("no space left")

// limitedWriter fails from the second write on.
type limitedWriter struct {
	strings.Builder
	writes int
}

func (writer *limitedWriter) Write(content []byte) (int, error) {
	if writer.writes++; writer.writes > 1 {
		return 0, errFull
	}
	return writer.Builder.Write(content)
}

func TestPrinterKeepsItsFirstError(t *testing.T) {
	writer := &limitedWriter{}
	output := &printer{writer: writer}
	for _, line := range []string{"one", "two", "three"} {
		output.printf("%s\n", line)
	}
	if !errors.Is(output.err, errFull) || writer.writes != 2 || writer.String() != "one\n" {
		t.Errorf("the printer keeps the error %v after %d writes of %q", output.err, writer.writes, writer.String())
	}
	if err := output.printJSON(1); !errors.Is(err, errFull) {
		t.Errorf("printJSON returns %v", err)
	}
}
