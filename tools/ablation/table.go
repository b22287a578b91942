package main

import (
	"fmt"
	"math"
	"strings"
)

// comparison holds the differences between the trials without a feature and those of the baseline, in pairs of the same
// day and seed.
type comparison struct {
	// values and prices hold the difference of each pair: without the feature minus baseline.
	values, prices []float64
	// broken counts the trials without the feature that broke a rule.
	broken int
}

// compare pairs the trials of a site without a feature with those of the baseline. Pairs that lack a report are left
// out.
func compare(chosen options, reports map[trial]report, site, feature string) comparison {
	compared := comparison{}
	for _, day := range chosen.days {
		for _, seed := range chosen.seeds {
			with, hasBaseline := reports[trial{feature: baseline, site: site, day: day, seed: seed}]
			without, hasTrial := reports[trial{feature: feature, site: site, day: day, seed: seed}]
			if !hasBaseline || !hasTrial {
				continue
			}
			compared.values = append(compared.values, without.Value-with.Value)
			compared.prices = append(compared.prices, without.totalPrice()-with.totalPrice())
			if len(without.Breaks) > 0 {
				compared.broken++
			}
		}
	}
	return compared
}

// mean returns the arithmetic mean of values.
func mean(values []float64) float64 {
	average := 0.0
	for _, value := range values {
		average += value / float64(len(values))
	}
	return average
}

// deviation returns the sample standard deviation of values; 0 for fewer than two.
func deviation(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	average, squares := mean(values), 0.0
	for _, value := range values {
		squares += (value - average) * (value - average)
	}
	return math.Sqrt(squares / float64(len(values)-1))
}

// tableHead is the head of the table, in Markdown.
const tableHead = `| site | without | worth | spread | prices | pairs | rules broken |
| --- | --- | --- | --- | --- | --- | --- |
`

// table returns the comparisons of all sites and features as a table in Markdown.
func table(chosen options, reports map[trial]report) string {
	var page strings.Builder
	page.WriteString(tableHead)
	for _, site := range chosen.sites {
		for _, feature := range chosen.features {
			compared := compare(chosen, reports, site, feature)
			if len(compared.values) == 0 {
				continue
			}
			fmt.Fprintf(&page, "| %s | %s | %+.3f | %.3f | %+.3f | %d | %d |\n", siteName(site), feature,
				mean(compared.values), deviation(compared.values), mean(compared.prices), len(compared.values), compared.broken)
		}
	}
	return page.String()
}
