package main

import (
	"fmt"
	"sync"
)

// verdict is the result of a check or a trial of one patch.
type verdict struct {
	// succeeded reports whether the trial detected the patch, or the check found it valid.
	succeeded bool
	// line is the text to print, or empty.
	line string
}

// evaluateAll evaluates every patch, at most jobs of them concurrently, and returns the number of those that succeeded.
// It prints the line of each verdict as soon as it is available.
func evaluateAll(patches []mutation, jobs int, evaluate func(patch mutation) verdict) int {
	waiting, verdicts := make(chan mutation), make(chan verdict)
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for patch := range waiting {
				verdicts <- evaluate(patch)
			}
		})
	}
	go func() {
		for _, patch := range patches {
			waiting <- patch
		}
		close(waiting)
		workers.Wait()
		close(verdicts)
	}()
	return printAll(verdicts)
}

// printAll prints verdicts until the channel is closed, and returns the number of those that succeeded.
func printAll(verdicts <-chan verdict) int {
	succeeded := 0
	for judged := range verdicts {
		if judged.succeeded {
			succeeded++
		}
		if judged.line != "" {
			fmt.Println(judged.line)
		}
	}
	return succeeded
}

// resultLine returns the line to print for a patch: a label, the patch's name and a text.
func resultLine(label string, patch mutation, text string) string {
	return fmt.Sprintf("%-7s %-24s %s", label, patch.name, text)
}
