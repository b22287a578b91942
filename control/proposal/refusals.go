package proposal

import (
	"strconv"
	"strings"

	"wardtray/control/failuredetector"
)

const (
	// RefusalWindow is how many requests of one incarnation of a process are tracked; a copy of an older one is late.
	RefusalWindow = 4 * maximumRequests
	// maximumOrigins bounds the incarnations of processes whose requests are told apart.
	maximumOrigins = 4 * failuredetector.MaximumPeers
)

// refusals remembers which requests were refused, so that a late copy of one is never accepted after the refusal was
// sent. A process numbers its requests; of each incarnation those of a window up to the newest are told apart, and what
// is older than the window counts as late: its origin has long answered it or let it time out.
type refusals struct {
	origins map[string]*originRefusals
	// clock counts the observations.
	clock uint64
}

// originRefusals are those of one incarnation of a process.
type originRefusals struct {
	newest uint64
	// refused are the numbers of the refused requests.
	refused map[uint64]bool
	// lastSeen is the clock of refusals when a request of this origin was last observed.
	lastSeen uint64
}

// splitToken returns the incarnation that a request came from, and the number of the request.
func splitToken(token string) (origin string, number uint64) {
	index := strings.LastIndexByte(token, '/')
	number, err := strconv.ParseUint(token[index+1:], 10, 64)
	if err != nil {
		return token, 0
	}
	return token[:index+1], number
}

// observe notes a copy of a request; it reports whether the copy is late, and whether the request was refused before.
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

// add notes a refusal that is about to be sent.
func (refusals *refusals) add(token string) {
	origin, number := splitToken(token)
	refusals.touch(origin).refused[number] = true
}

// touch notes that an incarnation was observed, and returns what is known of it.
func (refusals *refusals) touch(origin string) *originRefusals {
	if refusals.origins == nil {
		refusals.origins = map[string]*originRefusals{}
	}
	known := refusals.origins[origin]
	if known == nil {
		if len(refusals.origins) >= maximumOrigins {
			refusals.forgetOldest()
		}
		known = &originRefusals{refused: map[uint64]bool{}}
		refusals.origins[origin] = known
	}
	refusals.clock++
	known.lastSeen = refusals.clock
	return known
}

// forgetOldest forgets the incarnation that was observed least recently.
func (refusals *refusals) forgetOldest() {
	oldest := ""
	for origin, known := range refusals.origins {
		if oldest == "" || known.lastSeen < refusals.origins[oldest].lastSeen {
			oldest = origin
		}
	}
	delete(refusals.origins, oldest)
}
