package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// silentSeries begins the names of the results of runs with head and daemons lost.
const silentSeries = "silent-head"

// silenceColumn is one figure of the page's table of lost heads.
type silenceColumn struct {
	title string
	value func(run Run) (float64, bool)
}

// stageFigure takes a figure of a stage, also of an upset one: that it is upset has a column of its own.
func stageFigure(stage, name string, scale float64) func(run Run) (float64, bool) {
	return func(run Run) (float64, bool) {
		for _, phase := range run.Phases {
			if value, found := phase.Figures[name]; found && phase.Name == stage {
				return value * scale, true
			}
		}
		return 0, false
	}
}

// acceptedShare gives the part of the changes of the stages with faults that was acknowledged.
func acceptedShare(run Run) (float64, bool) {
	accepted, all := 0.0, 0.0
	for _, phase := range run.Phases {
		if phase.Name == stageSilent || phase.Name == stageDegraded {
			accepted += phase.Figures["changes.accepted"]
			all += phase.Figures["changes.accepted"] + phase.Figures["changes.unsure"]
		}
	}
	return accepted / max(1, all), all > 0
}

var silenceColumns = []silenceColumn{
	{"a change each, s", func(run Run) (float64, bool) { return run.ChangeEvery, run.ChangeEvery > 0 }},
	{"load", stageFigure(stageSilent, "machine.load", 1)},
	{"messages in quiet, /s", stageFigure("quiet", "daemon.messages", 1)},
	{"with changes, /s", stageFigure(stageBefore, "daemon.messages", 1)},
	{"without a head, /s", stageFigure(stageSilent, "daemon.messages", 1)},
	{"busiest half second, /s", stageFigure(stageSilent, "daemon.messages_busiest", 1)},
	{"after, /s", stageFigure(stageAfter, "daemon.messages", 1)},
	{"KiB/s without a head", stageFigure(stageSilent, "daemon.bytes_all", 1.0/1024)},
	{"KiB/s after", stageFigure(stageAfter, "daemon.bytes_all", 1.0/1024)},
	{"% of a core without a head", stageFigure(stageSilent, "daemon.processor", 100)},
	{"heap, MiB", stageFigure("quiet", "daemon.heap", 1.0/mebibyte)},
	{"next head after, s", stageFigure(stageSilent, "head.seconds", 1)},
	{"longest without a lease, s", stageFigure(stageSilent, "lease.without_longest", 1)},
	{"all serve after, s", stageFigure(stageDegraded, "serves.seconds", 1)},
	{"no lease at the return, of those watched", stageFigure(stageDegraded, "serves.open", 1)},
	{"acknowledged before, median s", stageFigure(stageBefore, "changes.median", 1)},
	{"acknowledged while lost, of 1", acceptedShare},
	{"longest without one, s", longestUnacknowledged},
	{"after, median s", stageFigure(stageAfter, "changes.median", 1)},
	{"all serve again after the return, s", stageFigure(stageDegraded, "returned.seconds", 1)},
}

// SilenceTable is the page's table of runs with head and daemons lost: one column for each run.
func SilenceTable(now, before map[string]Results) string {
	runs := append(silenceRuns("earlier", before), silenceRuns("now", now)...)
	text := &strings.Builder{}
	fmt.Fprint(text, "| figure |")
	for _, one := range runs {
		fmt.Fprintf(text, " %s, %d daemons%s |", one.build, one.run.Daemons, one.remark())
	}
	fmt.Fprintf(text, "\n| --- |%s\n", strings.Repeat(" --- |", len(runs)))
	for _, column := range silenceColumns {
		fmt.Fprintf(text, "| %s |", column.title)
		for _, one := range runs {
			fmt.Fprintf(text, " %s |", toldFigure(column.value(one.run)))
		}
		fmt.Fprintln(text)
	}
	return text.String()
}

// silenceRun is a run with the build that it is of.
type silenceRun struct {
	build string
	run   Run
}

// remark tells what is to be known of a run's figures.
func (one silenceRun) remark() string {
	if one.run.Slow > 1 {
		return fmt.Sprintf(", clocks %s times slower", short(one.run.Slow))
	}
	if len(one.run.Phases) == 1 {
		return ", did not come up"
	}
	return ""
}

func silenceRuns(build string, all map[string]Results) []silenceRun {
	var runs []silenceRun
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !strings.HasPrefix(name, silentSeries) {
			continue
		}
		for _, run := range all[name].Runs {
			runs = append(runs, silenceRun{build: build, run: run})
		}
	}
	slices.SortStableFunc(runs, func(left, right silenceRun) int { return left.run.Daemons - right.run.Daemons })
	return runs
}
