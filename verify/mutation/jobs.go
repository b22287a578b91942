package main

import "sync"

// forEach calls work for every patch, with at most jobs of them at once, and returns the number of calls that returned
// true.
func forEach(patches []patch, jobs int, work func(patch) bool) int {
	waiting := make(chan patch)
	var mutex sync.Mutex
	var workers sync.WaitGroup
	succeeded := 0
	for range jobs {
		workers.Go(func() {
			for patch := range waiting {
				if work(patch) {
					mutex.Lock()
					succeeded++
					mutex.Unlock()
				}
			}
		})
	}
	for _, patch := range patches {
		waiting <- patch
	}
	close(waiting)
	workers.Wait()
	return succeeded
}
