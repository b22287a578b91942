package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// File modes of created folders and files.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// deployFile is the path of the file with the programs' start commands, relative to the repository's root.
const deployFile = "deploy/system.toml"

// dataPlaneCommand begins the line of the deploy file that starts the data plane.
const dataPlaneCommand = `run = "target/wtdata `

// errNoDataPlane reports a deploy file without a start command of the data plane.
var errNoDataPlane = fmt.Errorf("%s has no line that begins with %s", deployFile, dataPlaneCommand)

// copySources is a shell command that copies the tracked and the untracked, not ignored files to the folder $0, without
// the journal.
const copySources = `git ls-files -co --exclude-standard -- . ':!journal' | tar cf - -T - | tar xf - -C "$0"`

// sources returns the folder of the copy of the sources in which a feature is switched off.
func (chosen options) sources(feature string) string {
	return filepath.Join(chosen.out, "trees", feature)
}

// prepareSources copies the sources, unless a copy exists, and switches a feature off in the copy's deploy file.
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
