package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// report is the part of the benchmark's report that the table uses.
type report struct {
	// Value is the day's earnings less prices, as a fraction of the earnings due.
	Value float64 `json:"G"`
	// Prices lists the deductions, which are already subtracted in Value.
	Prices []json.RawMessage `json:"prices"`
	// Breaks lists the broken rules by name.
	Breaks map[string]any `json:"breaks"`
}

// The elements of a price: its name, an amount, and the deduction as a fraction like report.Value.
const (
	priceElements     = 3
	priceValueElement = 2
)

// totalPrice returns the sum of all deductions. Entries of another form are ignored.
func (report report) totalPrice() float64 {
	total := 0.0
	for _, price := range report.Prices {
		var elements []json.RawMessage
		if json.Unmarshal(price, &elements) != nil || len(elements) != priceElements {
			continue
		}
		var value float64
		if json.Unmarshal(elements[priceValueElement], &value) == nil {
			total += value
		}
	}
	return total
}

// readReports reads the existing reports.
func readReports(chosen options) (map[trial]report, error) {
	reports := map[trial]report{}
	for _, next := range chosen.trials() {
		path := next.reportPath(chosen.out)
		content, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		read := report{}
		if err := json.Unmarshal(content, &read); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		reports[next] = read
	}
	return reports, nil
}
