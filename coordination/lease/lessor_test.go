package lease

import (
	"testing"
	"time"

	"wardtray/wire"
)

// An acceptor grants in a new term before LessorTTL has passed only if every previous head that may hold a lease is
// proven to be inactive. Otherwise two heads could hold leases at once.
func TestLessorGrantsEarlyOnlyWithProofOfEveryPreviousHead(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	view := func(epoch, term uint64, head string, previous string, previousTerm uint64) *wire.View {
		return &wire.View{
			Epoch: epoch, HeadTerm: term, Chain: []*wire.Member{{Id: head, Address: head}},
			PreviousHead: &wire.Member{Id: previous, Address: previous}, PreviousTerm: previousTerm,
		}
	}
	first, second, third := view(5, 5, "a", "z", 1), view(6, 6, "b", "a", 5), view(7, 7, "c", "b", 6)
	later, epsilon := started.Add(time.Hour), time.Millisecond
	learn := func(views ...*wire.View) func(*Lessor) {
		return func(lessor *Lessor) {
			for _, view := range views {
				lessor.AdoptView(later, view)
			}
		}
	}
	observed := func(head string, epoch uint64) func(*Lessor) {
		return func(lessor *Lessor) { lessor.ObserveEpoch(later, head, epoch) }
	}
	refused := func(address string, tried time.Time) func(*Lessor) {
		return func(lessor *Lessor) { lessor.ObserveConnectionRefused(later, address, tried) }
	}
	restarted := func(cleared uint64) func(*Lessor) {
		return func(lessor *Lessor) { *lessor = *NewLessor(later, second, cleared) }
	}
	type steps = []func(*Lessor)
	for name, test := range map[string]struct {
		steps    steps
		canGrant bool
	}{
		"no proof":                               {steps{learn(second)}, false},
		"the previous head adopted the new term": {steps{learn(second), observed("a", 6)}, true},
		"the previous head acts in the old term": {steps{learn(second), observed("a", 5)}, false},
		"another machine adopted the new term":   {steps{learn(second), observed("x", 6)}, false},
		"a refused connection":                   {steps{learn(second), refused("a", later.Add(epsilon))}, true},
		"a connection refused before the term":   {steps{learn(second), refused("a", later.Add(-epsilon))}, false},
		"a term was missed":                      {steps{learn(third), observed("b", 7)}, false},
		"two terms, one head adopted the last":   {steps{learn(second, third), observed("b", 7)}, false},
		"two terms, both heads adopted the last": {steps{learn(second, third), observed("b", 7), observed("a", 7)}, true},
		"a term learned, the next missed":        {steps{learn(second, view(8, 8, "d", "c", 7)), observed("a", 8)}, false},
		"the same head, but a term later":        {steps{learn(view(9, 9, "b", "a", 8)), observed("a", 9)}, false},
		"a term missed, then the next":           {steps{learn(third, view(8, 8, "d", "c", 7)), observed("c", 8)}, false},
		"one more view of the same term":         {steps{learn(view(6, 5, "a", "z", 1))}, true},
		"a restart with another cleared term":    {steps{restarted(5)}, false},
		"a restart with the same cleared term":   {steps{restarted(6)}, true},
		"a restart without a cleared term":       {steps{restarted(0)}, false},
	} {
		lessor := NewLessor(started, first, 0)
		if lessor.CanGrant(started.Add(LessorTTL-epsilon), false) || !lessor.CanGrant(started.Add(LessorTTL), false) {
			t.Fatal("want grants from LessorTTL after the start, and none before")
		}
		for _, step := range test.steps {
			step(lessor)
		}
		if lessor.CanGrant(later, false) != test.canGrant || lessor.CanGrant(later, true) {
			t.Errorf("%s: a grant is allowed: %v, want %v", name, lessor.CanGrant(later, false), test.canGrant)
		}
		if !lessor.CanGrant(later.Add(LessorTTL), false) {
			t.Errorf("%s: no grant is allowed LessorTTL later", name)
		}
	}
}
