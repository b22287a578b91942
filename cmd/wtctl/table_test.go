package main

import (
	"errors"
	"testing"
)

func TestTableReturnsTheErrorOfItsOutput(t *testing.T) {
	output := &printer{writer: &limitedWriter{writes: 1}}
	table := newTable(output)
	table.printf("a\tb\n")
	if err := table.flush(); !errors.Is(err, errFull) {
		t.Errorf("flush returns %v", err)
	}
}
