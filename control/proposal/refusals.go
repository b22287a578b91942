package proposal

import (
	"strconv"
	"strings"

	"wardtray/control/failuredetector"
)

const (
	// RefusalWindow is the number of requests, up to the newest, that are tracked for each incarnation of a process; a
	// copy of an older request counts as late.
	RefusalWindow = 4 * maximumRequests
	// maximumOrigins bounds the incarnations of processes whose requests are tracked.
	maximumOrigins = 4 * failuredetector.MaximumPeers
)

// refusals records which requests were refused, so that a late copy of one is never accepted after the refusal was
// sent. Each process numbers its requests. For each incarnation, the requests of a window up to the newest are tracked;
// older ones count as late, since their origin has replied to them or timed them out long before.
type refusals struct {
	origins map[string]*originRefusals
	// clock is a logical clock that counts the observations.
	clock uint64
}

// originRefusals are the refusals of one incarnation of a process.
type originRefusals struct {
	// newest is the greatest number of a request from this origin.
	newest uint64
	// refused are the numbers of the refused requests.
	refused map[uint64]bool
	// lastSeen is the value of refusals.clock when a request from this origin was last observed.
	lastSeen uint64
}

// splitToken splits a request's token into the incarnation that it came from and its number. A token of another form is
// returned as the origin, with the number 0.
func splitToken(token string) (origin string, number uint64) {
	index := strings.LastIndexByte(token, '/')
	number, err := strconv.ParseUint(token[index+1:], 10, 64)
	if err != nil {
		return token, 0
	}
	return token[:index+1], number
}

// observe records a copy of a request. It reports whether the copy is late, and whether the request was refused before.
func (refusals *refusals) observe(token string) (late, refused bool) {
	origin, number := splitToken(token)
	known := refusals.touch(origin)
	if number > known.newest {
		known.newest = number
		for other := range known.refused {
			if known.isLate(other) {
				delete(known.refused, other)
			}
		}
	}
	return known.isLate(number), known.refused[number]
}

// isLate reports whether a number is older than the window.
func (known *originRefusals) isLate(number uint64) bool { return number+RefusalWindow <= known.newest }

// add records a refusal that is about to be sent.
func (refusals *refusals) add(token string) {
	origin, number := splitToken(token)
	refusals.touch(origin).refused[number] = true
}

// touch records that an incarnation was observed, and returns its refusals.
func (refusals *refusals) touch(origin string) *originRefusals {
	if refusals.origins == nil {
		refusals.origins = map[string]*originRefusals{}
	}
	known := refusals.origins[origin]
	if known == nil {
		if len(refusals.origins) >= maximumOrigins {
			refusals.evictOldest()
		}
		known = &originRefusals{refused: map[uint64]bool{}}
		refusals.origins[origin] = known
	}
	refusals.clock++
	known.lastSeen = refusals.clock
	return known
}

// evictOldest removes the incarnation that was observed least recently.
func (refusals *refusals) evictOldest() {
	oldest := ""
	for origin, known := range refusals.origins {
		if oldest == "" || known.lastSeen < refusals.origins[oldest].lastSeen {
			oldest = origin
		}
	}
	delete(refusals.origins, oldest)
}
