package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// report is the part of a bench's report that the table uses.
type report struct {
	// Value is what the day earned less prices, as a part of what was due.
	Value float64 `json:"G"`
	// Prices are taken off the value.
	Prices []json.RawMessage `json:"prices"`
	// Breaks holds the rules that were broken.
	Breaks map[string]any `json:"breaks"`
}

// The elements of a price: its name, an amount, and its part of the value.
const (
	priceElements     = 3
	priceValueElement = 2
)

// totalPrice sums the prices. Entries of another form are left out.
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

// readReports reads the reports that exist.
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
