package scale

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"wardtray/apierror"
)

// ResultsFolder is where the committed results are.
const ResultsFolder = "verify/scale/results"

// ReadResults reads the results of a file.
func ReadResults(path string) (Results, error) {
	results := Results{}
	content, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(content, &results)
	}
	return results, apierror.Wrap(err, apierror.Malformed, "results")
}

// Table shows the runs side by side: each figure of each phase at each size.
func (results Results) Table() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "| phase | figure |")
	for _, run := range results.Runs {
		fmt.Fprintf(text, " %d daemons, %d runners |", run.Daemons, run.Runners)
	}
	fmt.Fprintf(text, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(results.Runs)))
	for _, phase := range slices.Concat([]string{"founding", "quiet"}, stageNames, PhaseNames()) {
		for _, name := range results.figureNames(phase) {
			fmt.Fprintf(text, "| %s | %s |", phase, name)
			for _, run := range results.Runs {
				fmt.Fprintf(text, " %s |", toldFigure(stageFigure(phase, name, 1)(run)))
			}
			fmt.Fprintln(text)
		}
	}
	return text.String()
}

// figureNames lists, in order, the figures that any run has of a phase.
func (results Results) figureNames(phase string) []string {
	names := map[string]bool{}
	for _, run := range results.Runs {
		for _, held := range run.Phases {
			if held.Name != phase {
				continue
			}
			for name := range held.Figures {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// toldFigure writes a figure that may not be there.
func toldFigure(value float64, found bool) string {
	if !found {
		return "-"
	}
	return short(value)
}

// short writes a figure with three digits that count.
func short(value float64) string {
	if value >= 1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// ReadAll reads every file of a folder of results by its name.
func ReadAll(folder string) (map[string]Results, error) {
	all := map[string]Results{}
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.NotFound, "results")
	}
	for _, path := range paths {
		results, err := ReadResults(path)
		if err != nil {
			return nil, err
		}
		all[strings.TrimSuffix(filepath.Base(path), ".json")] = results
	}
	return all, nil
}

// points gives a line's points in a set of results.
func (line line) points(all map[string]Results) []Point {
	var points []Point
	for _, run := range all[fileOf(line.series)].Runs {
		if value, found := line.value(run); found {
			points = append(points, Point{Size: series[line.series](run), Value: value})
		}
	}
	return points
}

// reach gives a line's figure at the size aimed at: what was seen there, or else what the fit gives.
func (line line) reach(all map[string]Results, fit Fit) (value float64, seen bool) {
	for _, point := range line.points(all) {
		if point.Size == line.aim {
			return point.Value, true
		}
	}
	return max(0, fit.At(line.aim)), false
}

// verdict tells whether a figure keeps a bound, or by what factor not.
func verdict(value, bound float64, least bool) string {
	if bound == 0 {
		return "no bound given"
	}
	over := factor(value, bound, least)
	if math.IsInf(over, 1) {
		return "**not at all**"
	}
	if over <= 1 {
		return "holds"
	}
	return fmt.Sprintf("**%s times over**", short(over))
}

// factor is how many times a figure goes beyond a bound; at most 1 holds.
func factor(value, bound float64, least bool) float64 {
	if bound == 0 {
		return 0
	}
	if !least {
		return value / bound
	}
	if value < 0.005*bound {
		return math.Inf(1)
	}
	// What is as good as the bound is not told to miss it by a rounding.
	if value >= 0.995*bound {
		return 1
	}
	return bound / value
}

// LinesTable is the page's table of figures that grow: fitted, extrapolated and judged.
func LinesTable(now, before map[string]Results) string {
	text := &strings.Builder{}
	fmt.Fprintln(text, "| role | figure | grows | scatter | at today's 93 | at the size aimed at | bound | verdict | earlier | run | carried by |")
	fmt.Fprintln(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, line := range lines {
		fit, fitted := FitPoints(line.points(now))
		if !fitted {
			fmt.Fprintf(text, "| %s | %s, %s | not measured at three sizes | | | | %s | not measured | | %s | %s |\n", line.role, line.what, line.unit, boundText(line.bound), line.series, line.mechanism)
			continue
		}
		at, seen := line.reach(now, fit)
		told := short(at)
		if seen {
			told += ", seen"
		} else if far := line.aim / fit.Greatest; far >= 2 {
			told += fmt.Sprintf(", %.0f-fold", far)
		}
		today := ""
		if line.today > 0 {
			today = short(max(0, fit.At(line.today)))
		}
		earlier := "not measured"
		if previous, fitted := FitPoints(line.points(before)); fitted {
			reached, _ := line.reach(before, previous)
			earlier = short(reached)
		}
		fmt.Fprintf(text, "| %s | %s, %s | %s | ±%.0f%% | %s | %s | %s | %s | %s | %s | %s |\n", line.role, line.what, line.unit, fit.grows(), 100*fit.Scatter, today, told, boundText(line.bound),
			verdict(at, line.bound, line.least), earlier, line.series, line.mechanism)
	}
	return text.String()
}

func boundText(bound float64) string {
	if bound == 0 {
		return "-"
	}
	return short(bound)
}

// grows writes a fit with the sizes that it comes from.
func (fit Fit) grows() string {
	if fit.Slope == 0 {
		return fmt.Sprintf("level, n to %s", short(fit.Greatest))
	}
	power := map[int]string{1: "n", 2: "n²"}[fit.Power]
	return fmt.Sprintf("%s %+.3g·%s, n to %s", short(fit.Base), fit.Slope, power, short(fit.Greatest))
}

// AgainTable is the page's table of the lines by daemons on a later build, at the greatest size that both runs have.
func AgainTable(all map[string]Results) string {
	text := &strings.Builder{}
	fmt.Fprintln(text, "| role | figure | daemons | first | later |")
	fmt.Fprintln(text, "| --- | --- | --- | --- | --- |")
	for _, line := range lines {
		if line.series != "daemons" {
			continue
		}
		again := line
		again.series = "late"
		size, first, later := 0.0, 0.0, 0.0
		for _, one := range line.points(all) {
			for _, other := range again.points(all) {
				if one.Size == other.Size && one.Size > size {
					size, first, later = one.Size, one.Value, other.Value
				}
			}
		}
		if size > 0 {
			fmt.Fprintf(text, "| %s | %s, %s | %s | %s | %s |\n", line.role, line.what, line.unit, short(size), short(first), short(later))
		}
	}
	return text.String()
}

// LimitsTable is the page's table of bounds that stand in the code.
func LimitsTable() string {
	text := &strings.Builder{}
	fmt.Fprintln(text, "| role | bound in the code | has | asked | verdict | carried by |")
	fmt.Fprintln(text, "| --- | --- | --- | --- | --- | --- |")
	for _, limit := range limits {
		fmt.Fprintf(text, "| %s | %s, %s | %s | %s | %s | %s |\n", limit.role, limit.what, limit.unit, short(limit.has), short(limit.asked), verdict(limit.asked, limit.has, false), limit.mechanism)
	}
	return text.String()
}

// Worst is what goes furthest beyond its bounds, by the design that would carry it.
type Worst struct {
	Design, What string
	Factor       float64
}

// Ranked gives every design that is needed, the one whose bound is missed by most first.
func Ranked(now map[string]Results) []Worst {
	found := map[string]Worst{}
	add := func(design, what string, over float64) {
		if design != "" && over > 1 && over > found[design].Factor {
			found[design] = Worst{Design: design, What: what, Factor: over}
		}
	}
	for _, line := range lines {
		if fit, fitted := FitPoints(line.points(now)); fitted {
			at, _ := line.reach(now, fit)
			add(line.design, line.role+": "+line.what, factor(at, line.bound, line.least))
		}
	}
	for _, limit := range limits {
		add(limit.design, limit.role+": "+limit.what, factor(limit.asked, limit.has, false))
	}
	ranked := make([]Worst, 0, len(found))
	for _, worst := range found {
		ranked = append(ranked, worst)
	}
	sort.Slice(ranked, func(left, right int) bool {
		if ranked[left].Factor != ranked[right].Factor {
			return ranked[left].Factor > ranked[right].Factor
		}
		return ranked[left].Design < ranked[right].Design
	})
	return ranked
}

// WorstTable is the page's list of what does not hold.
func WorstTable(now map[string]Results) string {
	text := &strings.Builder{}
	fmt.Fprintln(text, "| | design that would carry it | where its bound is missed most | by |")
	fmt.Fprintln(text, "| --- | --- | --- | --- |")
	for place, worst := range Ranked(now) {
		by := short(worst.Factor) + " times"
		if math.IsInf(worst.Factor, 1) {
			by = "not at all"
		}
		fmt.Fprintf(text, "| %d | %s | %s | %s |\n", place+1, worst.Design, worst.What, by)
	}
	return text.String()
}

// budgets are the costs of the request path whose rate is known at the size aimed at, for one daemon.
var budgets = []struct {
	what, phase, figure string
	// size picks the run where there are several.
	size func(run Run) int
	rate float64
	unit string
}{
	{"an award among all runners", "award", "microseconds", func(run Run) int { return run.Runners }, aimRequests / aimDaemons, "requests"},
	{"a lookup of six keys", "index", "score.microseconds", func(run Run) int { return run.Prefixes }, aimRequests / aimDaemons, "requests"},
	{"noting six keys", "index", "fill.microseconds_per_key", func(run Run) int { return run.Prefixes }, 6 * aimRequests / aimDaemons, "keys"},
	{"reading an event of one token", "event", "read.microseconds", func(Run) int { return 1 }, aimTokens / aimDaemons, "events"},
}

// BudgetsTable is the page's table of what the request path's parts come to at one daemon's share.
func BudgetsTable(all map[string]Results) string {
	text := &strings.Builder{}
	fmt.Fprintln(text, "| part | measured at | µs | times a second and daemon | % of a core |")
	fmt.Fprintln(text, "| --- | --- | --- | --- | --- |")
	for _, budget := range budgets {
		size, value := -1, 0.0
		for _, run := range all["path"].Runs {
			if found, there := run.figure(budget.phase, budget.figure); there && budget.size(run) > size {
				size, value = budget.size(run), found
			}
		}
		if size < 0 {
			fmt.Fprintf(text, "| %s | not measured | | %s %s | |\n", budget.what, short(budget.rate), budget.unit)
			continue
		}
		fmt.Fprintf(text, "| %s | %d | %s | %s %s | %s |\n", budget.what, size, short(value), short(budget.rate), budget.unit, short(value*budget.rate/1e4))
	}
	fleet := line{series: "requests", value: fleetProcessor}
	if points := fleet.points(all); len(points) >= leastPoints {
		each, rate := fitPower(points, 1).Slope*1e6, aimRequests/aimDaemons
		fmt.Fprintf(text, "| a whole request with its 77 events, as the slope of a small fleet's processor time over its rates | %d rates | %s | %s requests | %s |\n", len(points), short(each), short(rate), short(each*rate/1e4))
	}
	return text.String()
}

// fleetProcessor gives the processors that a small fleet of real processes took under a load.
func fleetProcessor(run Run) (float64, bool) {
	used, found := run.figure("requests", "processor.seconds")
	requests, also := run.figure("requests", "requests")
	if !found || !also || requests == 0 {
		return 0, false
	}
	return used / (requests / run.Rate), true
}

// KindsTable is the page's table of a daemon's messages by kind and border, from the greatest run left alone.
func KindsTable(all map[string]Results) string {
	text := &strings.Builder{}
	var greatest *Run
	runs := all["daemons"].Runs
	for place := range runs {
		if _, found := runs[place].figure("quiet", "daemon.bytes"); found && (greatest == nil || runs[place].Daemons > greatest.Daemons) {
			greatest = &runs[place]
		}
	}
	if greatest == nil {
		return "not measured\n"
	}
	fmt.Fprintf(text, "At %d daemons, left alone, for each daemon and second:\n\n| way | kind | within the zone | to another zone of the region | to another region | bytes |\n| --- | --- | --- | --- | --- | --- |\n", greatest.Daemons)
	for _, phase := range greatest.Phases {
		if phase.Name != "quiet" {
			continue
		}
		type row struct {
			messages map[string]float64
			bytes    float64
		}
		rows, names := map[string]*row{}, []string{}
		for _, flow := range phase.Flows {
			name := flow.Way + " | " + flow.Kind
			if rows[name] == nil {
				rows[name] = &row{messages: map[string]float64{}}
				names = append(names, name)
			}
			rows[name].messages[flow.Border] += flow.Messages
			rows[name].bytes += flow.Bytes
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(text, "| %s | %s | %s | %s | %s |\n", name, short(rows[name].messages["zone"]), short(rows[name].messages["region"]), short(rows[name].messages["regions"]), short(rows[name].bytes))
		}
	}
	return text.String()
}

// RunsTable is the page's table of the commands that gave the figures.
func RunsTable(now, before map[string]Results) string {
	text := &strings.Builder{}
	fmt.Fprintln(text, "| run | command | product's commit | upset or left out |")
	fmt.Fprintln(text, "| --- | --- | --- | --- |")
	add := func(prefix string, all map[string]Results) {
		names := make([]string, 0, len(all))
		for name := range all {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			var upset []string
			for _, run := range all[name].Runs {
				for _, phase := range run.Phases {
					if phase.Upset {
						upset = append(upset, fmt.Sprintf("%s at %d daemons, %d runners", phase.Name, run.Daemons, run.Runners))
					}
				}
			}
			fmt.Fprintf(text, "| %s%s | `%s` | %s | %s |\n", prefix, name, all[name].Command, all[name].Commit, strings.Join(upset, "; "))
		}
	}
	add("", now)
	add("earlier ", before)
	return text.String()
}

// Tables gives every table of the page by its name.
func Tables(folder string) (map[string]string, error) {
	now, err := ReadAll(folder)
	if err != nil {
		return nil, err
	}
	before, err := ReadAll(filepath.Join(folder, "earlier"))
	if err != nil {
		return nil, err
	}
	return map[string]string{"lines": LinesTable(now, before), "limits": LimitsTable(), "worst": WorstTable(now), "again": AgainTable(now), "budgets": BudgetsTable(now), "kinds": KindsTable(now), "runs": RunsTable(now, before), "silence": SilenceTable(now, before), "aim": describe() + "\n"}, nil
}

// Fill puts the tables into a page, each between its marks.
func Fill(page string, tables map[string]string) (string, error) {
	for name, table := range tables {
		begin, end := "<!-- table "+name+" -->\n", "<!-- end "+name+" -->"
		before, rest, found := strings.Cut(page, begin)
		_, after, finished := strings.Cut(rest, end)
		if !found || !finished {
			return "", apierror.New(apierror.Malformed, "the page has no place for the table %q", name)
		}
		page = before + begin + table + end + after
	}
	return page, nil
}

func writePage(folder, path string) error {
	tables, err := Tables(folder)
	if err != nil {
		return err
	}
	if path == "" {
		names := make([]string, 0, len(tables))
		for name := range tables {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("%s\n\n%s\n", name, tables[name])
		}
		return nil
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return apierror.Wrap(err, apierror.NotFound, "the page")
	}
	filled, err := Fill(string(page), tables)
	if err != nil {
		return err
	}
	return apierror.Wrap(os.WriteFile(path, []byte(filled), 0o644), apierror.Internal, "the page")
}
