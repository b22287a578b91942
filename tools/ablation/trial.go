package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// baseline is the feature of trials in which no feature is switched off.
const baseline = "everything"

// trial is one run of the benchmark: a day of a site with a seed, with one feature switched off or none (baseline).
type trial struct {
	feature, site, day string
	seed               int64
}

// siteName returns a site file's name without its folder and extension.
func siteName(site string) string { return strings.TrimSuffix(filepath.Base(site), ".toml") }

// reportPath returns the path of the trial's report.
func (trial trial) reportPath(out string) string {
	name := fmt.Sprintf("%s--%s--%s--%d.json", siteName(trial.site), trial.feature, trial.day, trial.seed)
	return filepath.Join(out, "reports", name)
}

// reason returns the reason for the trial that the benchmark writes to its journal.
func (trial trial) reason() string {
	if trial.feature == baseline {
		return "ablation: everything on"
	}
	return "ablation: without " + trial.feature
}

// trials lists all trials, those of the baseline first.
func (chosen options) trials() []trial {
	count := (1 + len(chosen.features)) * len(chosen.sites) * len(chosen.days) * len(chosen.seeds)
	trials := make([]trial, 0, count)
	for _, feature := range append([]string{baseline}, chosen.features...) {
		for _, site := range chosen.sites {
			for _, day := range chosen.days {
				trials = append(trials, chosen.seeded(trial{feature: feature, site: site, day: day})...)
			}
		}
	}
	return trials
}

// seeded returns a copy of a trial for each seed.
func (chosen options) seeded(template trial) []trial {
	trials := make([]trial, len(chosen.seeds))
	for i, seed := range chosen.seeds {
		trials[i] = template
		trials[i].seed = seed
	}
	return trials
}

// trialError reports a failed trial.
type trialError struct {
	trial trial
	cause error
}

// Error names the trial and the cause.
func (err trialError) Error() string {
	failed := err.trial
	site := siteName(failed.site)
	return fmt.Sprintf("%s without %s, %s %d: %v", site, failed.feature, failed.day, failed.seed, err.cause)
}

// Unwrap returns the cause.
func (err trialError) Unwrap() error { return err.cause }

// runTrials runs the trials that have no report, chosen.jobs at once. It logs those that fail; they get no report.
func runTrials(ctx context.Context, chosen options, failures *log.Logger) error {
	if err := os.MkdirAll(filepath.Join(chosen.out, "reports"), directoryMode); err != nil {
		return err
	}
	queue := make(chan trial)
	var workers sync.WaitGroup
	for range max(1, chosen.jobs) {
		workers.Go(func() {
			for next := range queue {
				if err := runTrial(ctx, chosen, next); err != nil {
					failures.Print(trialError{trial: next, cause: err})
				}
			}
		})
	}
	err := startTrials(ctx, chosen, queue)
	close(queue)
	workers.Wait()
	return err
}

// startTrials prepares the sources of the trials that have no report, and sends these trials to the workers.
func startTrials(ctx context.Context, chosen options, queue chan<- trial) error {
	for _, next := range chosen.trials() {
		if _, err := os.Stat(next.reportPath(chosen.out)); err == nil {
			continue
		}
		if err := prepareSources(ctx, chosen, next.feature); err != nil {
			return err
		}
		queue <- next
	}
	return nil
}

// runTrial runs one trial in its copy of the sources; the benchmark's journal entry stays in that copy.
func runTrial(ctx context.Context, chosen options, next trial) error {
	report := next.reportPath(chosen.out)
	partial := report + ".part"
	bench := exec.CommandContext(ctx, chosen.bench, "run", next.site, next.day,
		"--seed", strconv.FormatInt(next.seed, 10), "--why", next.reason(), "--report", partial)
	bench.Dir = chosen.sources(next.feature)
	if output, err := bench.CombinedOutput(); err != nil {
		// The trial counts if its report was written, even if the benchmark exited with an error.
		if _, missing := os.Stat(partial); missing != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
	}
	return os.Rename(partial, report)
}
