package loadtest

import (
	"strconv"
	"sync"
)

// terms holds, for each zone, the newest term that its clients have received in responses. It is safe for concurrent
// use.
type terms struct {
	mutex  sync.Mutex
	newest map[string]uint64
}

func newTerms() *terms { return &terms{newest: map[string]uint64{}} }

// learn records the term in a response header; a value that isn't a number is ignored.
func (terms *terms) learn(zone, value string) {
	term, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return
	}
	terms.mutex.Lock()
	defer terms.mutex.Unlock()
	terms.newest[zone] = max(terms.newest[zone], term)
}

// of returns the newest term that the clients in a zone have received, or 0.
func (terms *terms) of(zone string) uint64 {
	terms.mutex.Lock()
	defer terms.mutex.Unlock()
	return terms.newest[zone]
}
