package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/verify/linearizability"
	"wardtray/verify/simulation"
)

// registerHistories adds the command that judges a recorded history.
func registerHistories(application *kingpin.Application, known commands) {
	command := application.Command("histories",
		"Look for an order of a single machine that explains what the callers of a fleet saw, as path and fleet record it.")
	file := command.Arg("file", "The recorded history, as JSON.").Required().String()
	timeout := command.Flag("timeout", "For how long to look, for the configuration and for the requests.").
		Default("1m").Duration()
	pages := command.Flag("draw", "Write pages that show the history and the orders found into this folder.").String()
	known[command.FullCommand()] = func() error { return judgeFile(os.Stdout, *file, *timeout, *pages) }
}

// judgeFile judges the history of a file, and draws it where a folder is given.
func judgeFile(output io.Writer, file string, timeout time.Duration, pages string) error {
	source, err := os.Open(file) //nolint:gosec // The caller names the file.
	if err != nil {
		return err
	}
	defer func() { _ = source.Close() }()
	recording, err := linearizability.Read(source)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	found := linearizability.Judge(recording, timeout)
	printer{output}.println(found)
	if pages != "" {
		if err := found.WritePages(pages); err != nil {
			return err
		}
	}
	return verdict(found.IsLinearizable())
}

// recorder writes the histories of simulated runs into a folder; none where its name is empty. It is safe for
// concurrent use.
type recorder struct {
	folder string
	mutex  sync.Mutex
	err    error
}

// record writes the history of a run, named by its seed, and keeps the errors for failure.
func (recorder *recorder) record(world *simulation.World) {
	if recorder.folder == "" {
		return
	}
	name := fmt.Sprintf("%d.json", world.Seed)
	err := world.Recording().WriteFile(filepath.Join(recorder.folder, name))
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.err = errors.Join(recorder.err, err)
}

// failure returns what could not be written.
func (recorder *recorder) failure() error {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.err
}
