package loadtest

import (
	"strconv"
	"sync"
)

// terms are the newest terms that the clients of each zone have seen in answers. It is safe for concurrent use.
type terms struct {
	mutex  sync.Mutex
	newest map[string]uint64
}

func newTerms() *terms { return &terms{newest: map[string]uint64{}} }

// learn takes the term that an answer names, if it names one.
func (terms *terms) learn(zone, value string) {
	term, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return
	}
	terms.mutex.Lock()
	defer terms.mutex.Unlock()
	terms.newest[zone] = max(terms.newest[zone], term)
}

// of returns the newest term that the clients of a zone have seen, 0 for none.
func (terms *terms) of(zone string) uint64 {
	terms.mutex.Lock()
	defer terms.mutex.Unlock()
	return terms.newest[zone]
}
