package lease

import (
	"testing"
	"time"
)

func TestGrantsOfOtherRequestsDoNotCount(t *testing.T) {
	lessee, now := NewLessee(7), time.Unix(1_700_000_000, 0)
	first := lessee.Request(now, 1)
	second := lessee.Request(now, 1)
	lessee.AddGrant(now, "b", 1, first, 2)
	lessee.AddGrant(now, "a", 1, second, 2)
	lessee.AddGrant(now, "a", 1, second, 2)
	if lessee.Valid(now, 1) {
		t.Fatal("one acceptor counted as two")
	}
	lessee.AddGrant(now, "b", 1, second, 2)
	if !lessee.Valid(now, 1) || lessee.Valid(now.Add(LesseeTTL), 1) || lessee.Valid(now, 2) {
		t.Fatal("a lease is valid for its view, until Held after it was requested")
	}
}
