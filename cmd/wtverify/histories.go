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

// registerHistories adds the command that checks whether a recorded history is linearizable.
func registerHistories(application *kingpin.Application, known commands) {
	command := application.Command("histories",
		"Check that a history, as path and fleet record it, is linearizable: that an order on a single machine explains it.")
	file := command.Arg("file", "The recorded history, as JSON.").Required().String()
	timeout := command.Flag("timeout", "Time limit of the search, for the configuration and for the requests each.").
		Default("1m").Duration()
	pages := command.Flag("draw", "Write pages that show the history and the orders found into this folder.").String()
	known[command.FullCommand()] = func() error { return checkHistory(os.Stdout, *file, *timeout, *pages) }
}

// checkHistory checks the history in a file, prints the result, and draws the history into the folder pages unless
// that is empty.
func checkHistory(output io.Writer, file string, timeout time.Duration, pages string) error {
	source, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = source.Close() }()
	recording, err := linearizability.Read(source)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	found := linearizability.Check(recording, timeout)
	printer{output}.println(found)
	if pages != "" {
		if err := found.WritePages(pages); err != nil {
			return err
		}
	}
	return verdict(found.IsLinearizable())
}

// recorder writes the histories of simulated runs into a folder, or nothing if the folder's name is empty. It is safe
// for concurrent use.
type recorder struct {
	folder string
	mutex  sync.Mutex
	err    error
}

// record writes the history of a run to a file named by the run's seed. failure returns its errors.
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

// failure returns the errors of all calls of record, joined.
func (recorder *recorder) failure() error {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.err
}
