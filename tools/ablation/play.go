package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// one is one day to be played.
type one struct {
	mechanism, site, day string
	seed                 int64
}

// siteName is a site file's name without its folder and ending.
func siteName(site string) string { return strings.TrimSuffix(filepath.Base(site), ".toml") }

// report is where a day's report stands.
func (one one) report(out string) string {
	return filepath.Join(out, "reports", fmt.Sprintf("%s--%s--%s--%d.json", siteName(one.site), one.mechanism, one.day, one.seed))
}

// days lists all that is to be played, the runs to compare with first.
func (given settings) plays() []one {
	var plays []one
	for _, mechanism := range append([]string{everything}, given.mechanisms...) {
		for _, site := range given.sites {
			for _, day := range given.days {
				for _, seed := range given.seeds {
					plays = append(plays, one{mechanism: mechanism, site: site, day: day, seed: seed})
				}
			}
		}
	}
	return plays
}

// playAll plays what has no report yet, several days at once.
func playAll(given settings) error {
	if err := os.MkdirAll(filepath.Join(given.out, "reports"), 0o755); err != nil {
		return err
	}
	plays := make(chan one)
	var group sync.WaitGroup
	for range max(1, given.jobs) {
		group.Go(func() {
			for next := range plays {
				if err := play(given, next); err != nil {
					fmt.Fprintf(os.Stderr, "%s without %s, %s %d: %v\n", siteName(next.site), next.mechanism, next.day, next.seed, err)
				}
			}
		})
	}
	for _, next := range given.plays() {
		if _, err := os.Stat(next.report(given.out)); err == nil {
			continue
		}
		if err := prepare(given, next.mechanism); err != nil {
			close(plays)
			return err
		}
		plays <- next
	}
	close(plays)
	group.Wait()
	return nil
}

// tree is the copy of the sources in which a mechanism is switched off.
func (given settings) tree(mechanism string) string {
	return filepath.Join(given.out, "trees", mechanism)
}

// deployFile says how the programs are run.
const deployFile = "deploy/system.toml"

// prepare copies the tracked files as they are, and switches a mechanism off in the deploy file.
func prepare(given settings, mechanism string) error {
	tree := given.tree(mechanism)
	if _, err := os.Stat(filepath.Join(tree, deployFile)); err == nil {
		return nil
	}
	if err := os.MkdirAll(filepath.Join(tree, "journal"), 0o755); err != nil {
		return err
	}
	copying := exec.Command("sh", "-c", `git ls-files -co --exclude-standard -- . ':!journal' | tar cf - -T - | tar xf - -C "$0"`, tree)
	if output, err := copying.CombinedOutput(); err != nil {
		return fmt.Errorf("copying the sources: %w: %s", err, output)
	}
	if mechanism == everything {
		return nil
	}
	path := filepath.Join(tree, deployFile)
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed, err := switchedOff(string(content), mechanism)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(changed), 0o644)
}

// dataPlane begins the line of the deploy file that runs the data plane.
const dataPlane = `run = "target/wtdata `

// switchedOff gives the deploy file with a mechanism of the data plane switched off.
func switchedOff(content, mechanism string) (string, error) {
	if !strings.Contains(content, dataPlane) {
		return "", fmt.Errorf("%s has no line that begins with %s", deployFile, dataPlane)
	}
	return strings.Replace(content, dataPlane, dataPlane+"--without "+mechanism+" ", 1), nil
}

// play plays one day; its journal entry stays in the copy's journal.
func play(given settings, next one) error {
	why := "ablation: without " + next.mechanism
	if next.mechanism == everything {
		why = "ablation: everything on"
	}
	part := next.report(given.out) + ".part"
	playing := exec.Command(given.bench, "run", next.site, next.day, "--seed", fmt.Sprint(next.seed), "--why", why, "--report", part)
	playing.Dir = given.tree(next.mechanism)
	if output, err := playing.CombinedOutput(); err != nil {
		if _, there := os.Stat(part); there != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
	}
	return os.Rename(part, next.report(given.out))
}
