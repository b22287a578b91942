package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// The modes of what is made.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// deployFile is the path of the file that says how the programs are started, from the repository's root.
const deployFile = "deploy/system.toml"

// dataPlaneCommand begins the line of the deploy file that starts the data plane.
const dataPlaneCommand = `run = "target/wtdata `

// errNoDataPlane is the error of a deploy file that starts no data plane.
var errNoDataPlane = fmt.Errorf("%s has no line that begins with %s", deployFile, dataPlaneCommand)

// copySources copies all files that git would track to the folder $0, without the journal.
const copySources = `git ls-files -co --exclude-standard -- . ':!journal' | tar cf - -T - | tar xf - -C "$0"`

// sources returns the path of the copy of the sources in which a feature is switched off.
func (chosen options) sources(feature string) string {
	return filepath.Join(chosen.out, "trees", feature)
}

// prepareSources copies the sources, unless there is a copy, and switches a feature off in its deploy file.
func prepareSources(ctx context.Context, chosen options, feature string) error {
	sources := chosen.sources(feature)
	path := filepath.Join(sources, deployFile)
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(filepath.Join(sources, "journal"), directoryMode); err != nil {
		return err
	}
	if output, err := exec.CommandContext(ctx, "sh", "-c", copySources, sources).CombinedOutput(); err != nil {
		return fmt.Errorf("copying the sources: %w: %s", err, output)
	}
	if feature == baseline {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed, err := switchOff(string(content), feature)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(changed), fileMode)
}

// switchOff returns the content of a deploy file with a feature of the data plane switched off.
func switchOff(content, feature string) (string, error) {
	if !strings.Contains(content, dataPlaneCommand) {
		return "", errNoDataPlane
	}
	return strings.Replace(content, dataPlaneCommand, dataPlaneCommand+"--without "+feature+" ", 1), nil
}
