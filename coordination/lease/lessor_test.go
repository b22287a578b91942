package lease

import (
	"testing"
	"time"

	"wardtray/wire"
)

// An acceptor grants in a new term before a lease.LessorTTL is over only with proof of every head that may still act.
func TestLessorGrantsEarlyOnlyWithProofOfEveryPreviousHead(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	view := func(epoch, term uint64, head string, previous string, previousTerm uint64) *wire.View {
		return &wire.View{
			Epoch: epoch, HeadTerm: term, Chain: []*wire.Member{{Id: head, Address: head}},
			PreviousHead: &wire.Member{Id: previous, Address: previous}, PreviousTerm: previousTerm,
		}
	}
	first, second, third := view(5, 5, "a", "z", 1), view(6, 6, "b", "a", 5), view(7, 7, "c", "b", 6)
	later, moment := started.Add(time.Hour), time.Millisecond
	learn := func(views ...*wire.View) func(*Lessor) {
		return func(lessor *Lessor) {
			for _, view := range views {
				lessor.AdoptView(later, view)
			}
		}
	}
	acts := func(head string, epoch uint64) func(*Lessor) {
		return func(lessor *Lessor) { lessor.ObserveEpoch(later, head, epoch) }
	}
	refused := func(address string, tried time.Time) func(*Lessor) {
		return func(lessor *Lessor) { lessor.ObserveRefusal(later, address, tried) }
	}
	restarted := func(cleared uint64) func(*Lessor) {
		return func(lessor *Lessor) { *lessor = *NewLessor(later, second, cleared) }
	}
	type steps = []func(*Lessor)
	for name, test := range map[string]struct {
		steps  steps
		allows bool
	}{
		"nothing":                              {steps{learn(second)}, false},
		"the previous head moved on":           {steps{learn(second), acts("a", 6)}, true},
		"the previous head is where it was":    {steps{learn(second), acts("a", 5)}, false},
		"another moved on":                     {steps{learn(second), acts("x", 6)}, false},
		"nothing listens":                      {steps{learn(second), refused("a", later.Add(moment))}, true},
		"nothing listened before":              {steps{learn(second), refused("a", later.Add(-moment))}, false},
		"a term was missed":                    {steps{learn(third), acts("b", 7)}, false},
		"two terms, one head moved on":         {steps{learn(second, third), acts("b", 7)}, false},
		"two terms, both moved on":             {steps{learn(second, third), acts("b", 7), acts("a", 7)}, true},
		"one known, then one missed":           {steps{learn(second, view(8, 8, "d", "c", 7)), acts("a", 8)}, false},
		"the same head, but a term later":      {steps{learn(view(9, 9, "b", "a", 8)), acts("a", 9)}, false},
		"a term missed, then the next":         {steps{learn(third, view(8, 8, "d", "c", 7)), acts("c", 8)}, false},
		"one more view of the same term":       {steps{learn(view(6, 5, "a", "z", 1))}, true},
		"a start with another term on disk":    {steps{restarted(5)}, false},
		"a start with the same term on disk":   {steps{restarted(6)}, true},
		"a start without anything on the disk": {steps{restarted(0)}, false},
	} {
		lessor := NewLessor(started, first, 0)
		if lessor.CanGrant(started.Add(LessorTTL-moment), false) || !lessor.CanGrant(started.Add(LessorTTL), false) {
			t.Fatal("a Term after the start, and not before")
		}
		for _, step := range test.steps {
			step(lessor)
		}
		if lessor.CanGrant(later, false) != test.allows || lessor.CanGrant(later, true) {
			t.Errorf("%s: allows %v", name, lessor.CanGrant(later, false))
		}
		if !lessor.CanGrant(later.Add(LessorTTL), false) {
			t.Errorf("%s: not a Term later", name)
		}
	}
}
