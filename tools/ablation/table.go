package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
)

// report is what a day's report says that the table goes by.
type report struct {
	// Worth is what the day earned less prices, as a part of what was owed.
	Worth  float64           `json:"G"`
	Prices []json.RawMessage `json:"prices"`
	Breaks map[string]any    `json:"breaks"`
}

// priced adds up the prices; each is a list of its name, an amount and its part of the worth.
func (report report) priced() float64 {
	sum := 0.0
	for _, line := range report.Prices {
		var parts []json.RawMessage
		var part float64
		if json.Unmarshal(line, &parts) == nil && len(parts) == 3 && json.Unmarshal(parts[2], &part) == nil {
			sum += part
		}
	}
	return sum
}

// readReports reads the reports that are there.
func readReports(given settings) (map[one]report, error) {
	reports := map[one]report{}
	for _, next := range given.plays() {
		content, err := os.ReadFile(next.report(given.out))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		read := report{}
		if err := json.Unmarshal(content, &read); err != nil {
			return nil, fmt.Errorf("%s: %w", next.report(given.out), err)
		}
		reports[next] = read
	}
	return reports, nil
}

// difference is how runs without a mechanism differ from those with everything, over pairs of the same day and seed.
type difference struct {
	worth, prices []float64
	broken        int
}

// compare pairs the runs of a site without a mechanism with those with everything.
func compare(given settings, reports map[one]report, site, mechanism string) difference {
	found := difference{}
	for _, day := range given.days {
		for _, seed := range given.seeds {
			with, known := reports[one{everything, site, day, seed}]
			without, played := reports[one{mechanism, site, day, seed}]
			if !known || !played {
				continue
			}
			found.worth = append(found.worth, without.Worth-with.Worth)
			found.prices = append(found.prices, without.priced()-with.priced())
			if len(without.Breaks) > 0 {
				found.broken++
			}
		}
	}
	return found
}

// mean gives the mean and the standard deviation of some values.
func mean(values []float64) (average, deviation float64) {
	for _, value := range values {
		average += value / float64(len(values))
	}
	for _, value := range values {
		deviation += (value - average) * (value - average)
	}
	if len(values) > 1 {
		deviation = math.Sqrt(deviation / float64(len(values)-1))
	}
	return average, deviation
}

// table gives the differences as a page's table.
func table(given settings, reports map[one]report) string {
	var page strings.Builder
	page.WriteString("| site | without | worth | spread | prices | pairs | rules broken |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, site := range given.sites {
		for _, mechanism := range given.mechanisms {
			found := compare(given, reports, site, mechanism)
			if len(found.worth) == 0 {
				continue
			}
			worth, spread := mean(found.worth)
			prices, _ := mean(found.prices)
			fmt.Fprintf(&page, "| %s | %s | %+.3f | %.3f | %+.3f | %d | %d |\n", siteName(site), mechanism, worth, spread, prices, len(found.worth), found.broken)
		}
	}
	return page.String()
}
