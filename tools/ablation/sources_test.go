package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSwitchOff(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "..", deployFile))
	if err != nil {
		t.Fatal(err)
	}
	changed, err := switchOff(string(content), "homes")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(changed, "target/wtdata --without homes --adapter") {
		t.Errorf("the feature is not switched off in %s", changed)
	}
	if strings.Contains(changed, "wtcore --without") {
		t.Errorf("the control plane's start command is changed too in %s", changed)
	}
	if _, err := switchOff("[roles]", "homes"); !errors.Is(err, errNoDataPlane) {
		t.Errorf("a deploy file without a data plane: %v", err)
	}
}
