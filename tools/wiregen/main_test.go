package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleProto = `syntax = "proto3";
package sample;
option go_package = "example/sample";
message Point { int32 x = 1; }
`

func TestRunWritesTheCodeBesideTheFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "sample.proto")
	if err := os.WriteFile(path, []byte(sampleProto), generatedMode); err != nil {
		t.Fatal(err)
	}
	if err := run(t.Context(), []string{path}); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(folder, "sample.pb.go"))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(content), "type Point struct") {
		t.Errorf("the message has no type in %s", content)
	}
}

func TestRunRejectsWrongArguments(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.proto")
	for _, arguments := range [][]string{nil, {"a.proto", "b.proto"}, {missing}} {
		if err := run(t.Context(), arguments); err == nil {
			t.Errorf("%q is accepted", arguments)
		}
	}
}
