package main

import (
	"fmt"
	"sync"
)

// verdict is what a check or a trial says of one patch.
type verdict struct {
	// succeeded says that the patch is as it is wanted.
	succeeded bool
	// line is printed; it may be empty.
	line string
}

// judgeAll judges every patch, at most jobs of them at once, and returns the number of those that succeeded. It prints
// each verdict's line as soon as there is one.
func judgeAll(patches []mutation, jobs int, judge func(patch mutation) verdict) int {
	waiting, verdicts := make(chan mutation), make(chan verdict)
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for patch := range waiting {
				verdicts <- judge(patch)
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

// printAll prints verdicts until there are no more, and returns the number of those that succeeded.
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

// labelled returns the line that is printed of a patch: a label, its name and a text.
func labelled(label string, patch mutation, text string) string {
	return fmt.Sprintf("%-7s %-24s %s", label, patch.name, text)
}
