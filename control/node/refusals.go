package node

import (
	"strconv"
	"strings"
)

const (
	// refusalWindow is how many questions of one life of a machine are told apart; a copy of an older one is late.
	refusalWindow = 4 * maximumAsks
	// maximumOrigins bounds the lives of machines whose questions are told apart.
	maximumOrigins = 4 * maximumPartialView
)

// refusals remembers which copies of an order were refused, so that a late copy of one is never taken after its
// asker was told. A machine numbers its questions; of each life of a machine those of a window up to the newest are
// told apart, and what is older than the window counts as late: its asker has long been answered or has given up.
type refusals struct {
	origins map[string]*originRefusals
	clock   uint64
}

// originRefusals are those of one life of a machine.
type originRefusals struct {
	newest uint64
	told   map[uint64]bool
	seen   uint64
}

// splitToken gives the life of the machine that asked, and its number of the question.
func splitToken(token string) (origin string, number uint64) {
	place := strings.LastIndexByte(token, '/')
	number, err := strconv.ParseUint(token[place+1:], 10, 64)
	if err != nil {
		return token, 0
	}
	return token[:place+1], number
}

// see takes in a copy of an order; it tells whether the copy is late, and whether the order was refused before.
func (refusals *refusals) see(token string) (late, refused bool) {
	origin, number := splitToken(token)
	known := refusals.origin(origin)
	if number > known.newest {
		known.newest = number
		for refused := range known.told {
			if known.late(refused) {
				delete(known.told, refused)
			}
		}
	}
	return known.late(number), known.told[number]
}

func (known *originRefusals) late(number uint64) bool { return number+refusalWindow <= known.newest }

// tell notes a refusal that is about to be told.
func (refusals *refusals) tell(token string) {
	origin, number := splitToken(token)
	refusals.origin(origin).told[number] = true
}

func (refusals *refusals) origin(origin string) *originRefusals {
	if refusals.origins == nil {
		refusals.origins = map[string]*originRefusals{}
	}
	known := refusals.origins[origin]
	if known == nil {
		if len(refusals.origins) >= maximumOrigins {
			refusals.forgetOldest()
		}
		known = &originRefusals{told: map[uint64]bool{}}
		refusals.origins[origin] = known
	}
	refusals.clock++
	known.seen = refusals.clock
	return known
}

// forgetOldest forgets the life of which nothing was seen for the longest time.
func (refusals *refusals) forgetOldest() {
	oldest := ""
	for origin, known := range refusals.origins {
		if oldest == "" || known.seen < refusals.origins[oldest].seen {
			oldest = origin
		}
	}
	delete(refusals.origins, oldest)
}
