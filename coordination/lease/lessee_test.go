package lease

import (
	"testing"
	"time"
)

// A lease needs grants of the same request by a majority of distinct acceptors; grants of different requests and
// repeated grants do not add up.
func TestGrantsOfOtherRequestsDoNotCount(t *testing.T) {
	lessee, now := NewLessee(7), time.Unix(1_700_000_000, 0)
	first := lessee.Request(now, 1)
	second := lessee.Request(now, 1)
	lessee.AddGrant(now, "b", 1, first, 2)
	lessee.AddGrant(now, "a", 1, second, 2)
	lessee.AddGrant(now, "a", 1, second, 2)
	if lessee.Valid(now, 1) {
		t.Fatal("the lease is valid with one acceptor's grant of each request")
	}
	lessee.AddGrant(now, "b", 1, second, 2)
	if !lessee.Valid(now, 1) || lessee.Valid(now.Add(LesseeTTL), 1) || lessee.Valid(now, 2) {
		t.Fatal("want the lease valid in its view only, until LesseeTTL after its request")
	}
}
