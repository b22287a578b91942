package lease

import "time"

// Lessee requests the head's lease and tracks its expiry, at the head of the chain.
type Lessee struct {
	view uint64
	// nonce is the nonce of the last request.
	nonce uint64
	// requests holds, by nonce, the requests whose grants may still extend the lease.
	requests  map[uint64]*request
	expiresAt time.Time
}

// request is a request to all acceptors of a view and the acceptors that have granted it.
type request struct {
	sentAt time.Time
	grants map[string]bool
}

// NewLessee returns a lessee without a lease. Its nonces begin above start, which has to be random, so that a grant to
// an earlier incarnation of the same machine is never counted as a grant to this one.
func NewLessee(start uint64) *Lessee { return &Lessee{nonce: start} }

// Request starts a new request in a view and returns its nonce. Earlier requests stay open, so that grants that arrive
// after the next request was sent count too, each for its own request. A request in another view releases the lease.
func (lessee *Lessee) Request(now time.Time, view uint64) uint64 {
	if view != lessee.view || lessee.requests == nil {
		lessee.expiresAt, lessee.requests = time.Time{}, map[uint64]*request{}
	}
	for nonce, earlier := range lessee.requests {
		if now.Sub(earlier.sentAt) >= LesseeTTL {
			delete(lessee.requests, nonce)
		}
	}
	lessee.view = view
	lessee.nonce++
	lessee.requests[lessee.nonce] = &request{sentAt: now, grants: map[string]bool{}}
	return lessee.nonce
}

// AddGrant counts an acceptor's grant of the request with a nonce. majority is the number of grants from the view's
// acceptors that a lease needs.
func (lessee *Lessee) AddGrant(_ time.Time, acceptor string, view, nonce uint64, majority int) {
	request := lessee.requests[nonce]
	if view != lessee.view || request == nil {
		return
	}
	request.grants[acceptor] = true
	if len(request.grants) < majority {
		return
	}
	if expiresAt := request.sentAt.Add(LesseeTTL); expiresAt.After(lessee.expiresAt) {
		lessee.expiresAt = expiresAt
	}
}

// Valid reports whether the lease of a view is held at the moment now.
func (lessee *Lessee) Valid(now time.Time, view uint64) bool {
	return view == lessee.view && now.Before(lessee.expiresAt)
}
