package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/wire"
)

var begun = time.Unix(1_700_000_000, 0)

// stall is a desk with a book of its own; the scene lists every runner of the book.
type stall struct {
	*Desk
	book    *load.Book
	indexer *kvblock.Indexer
	runners []*wire.Runner
	now     time.Time
}

func newStall(t *testing.T, runners int) *stall {
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, 100_000, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	made := &stall{book: load.NewBook(begun, "d1"), indexer: indexer, now: begun}
	for number := range runners {
		made.runners = append(made.runners, &wire.Runner{RunnerId: fmt.Sprintf("r%02d", number), Address: "x", Zone: "a", Service: "s", State: "ready"})
	}
	made.book.List(begun, made.runners)
	made.Desk = NewDesk(func(now time.Time) Field { return Field{Runners: made.book.All(now, []string{"d1"}), Daemons: 1} }, made.book, indexer, rand.New(rand.NewSource(1)))
	return made
}

func (stall *stall) ticket(lane string, worth, purse float64, patience time.Duration, parts ...string) *Ticket {
	tokens := make([]int, len(parts))
	for place := range parts {
		tokens[place] = 1000
	}
	return &Ticket{Lane: lane, Purse: purse, Keys: stall.indexer.Processor.BlockKeys(parts, kvblock.Extra{}), PartTokens: tokens, Steps: make(chan Step, 1),
		Bid: Bid{Worth: worth, Patience: patience, PromptTokens: 1000*len(parts) + 100, Zone: "a", Shut: map[string]bool{}}}
}

// enter gives the step if there is one at once.
func (stall *stall) enter(ticket *Ticket) (Step, bool) {
	stall.Enter(stall.now, ticket)
	select {
	case step := <-ticket.Steps:
		if step.Kind == Pass {
			stall.indexer.Pool.Add(kvblock.BlockStored{Runner: step.Runner.ID, Now: stall.now, Keys: ticket.Keys, Tokens: ticket.PartTokens})
		}
		return step, true
	default:
		return Step{}, false
	}
}

func TestPrefixGoesWhereItIsHeld(t *testing.T) {
	stall := newStall(t, 18)
	first, _ := stall.enter(stall.ticket("l", 1, 1, time.Second, "system", "one"))
	stall.Release(stall.now, &Ticket{Lane: "l"}, first.Runner.ID)
	second, _ := stall.enter(stall.ticket("l", 1, 1, time.Second, "system", "one"))
	if second.Runner.ID != first.Runner.ID || second.HeldTokens != 2000 {
		t.Fatalf("first %s, then %s with %d tokens held", first.Runner.ID, second.Runner.ID, second.HeldTokens)
	}
}

// One key draws all the traffic: it spills over many runners, and none gets more than slots and a short queue.
func TestHotKeySpills(t *testing.T) {
	stall := newStall(t, 18)
	counts := map[string]int{}
	for range 60 {
		step, passed := stall.enter(stall.ticket("l", 1, 1, 10*time.Second, "hot"))
		if passed && step.Kind == Pass {
			counts[step.Runner.ID]++
		}
	}
	if len(counts) < 12 {
		t.Fatalf("a hot key stayed on %d runners: %v", len(counts), counts)
	}
	for runner, count := range counts {
		if count > 6 {
			t.Errorf("%s has %d at once", runner, count)
		}
	}
}

func TestTiesFallByLot(t *testing.T) {
	counts := map[string]int{}
	for seed := range 200 {
		stall := newStall(t, 6)
		stall.Desk.random = rand.New(rand.NewSource(int64(seed)))
		step, _ := stall.enter(stall.ticket("l", 1, 1, time.Second, "x"))
		counts[step.Runner.ID]++
	}
	for runner, count := range counts {
		if count < 10 || count > 70 {
			t.Errorf("%s won %d of 200 ties among 6", runner, count)
		}
	}
	if len(counts) != 6 {
		t.Fatalf("only %d of 6 ever won", len(counts))
	}
}

// A full pool: whoever can't be served within its patience is told at once, when to come back too.
func TestRefusalsAreEarly(t *testing.T) {
	stall := newStall(t, 2)
	for range 12 {
		if step, passed := stall.enter(stall.ticket("l", 1, 1, time.Minute, "x")); !passed || step.Kind != Pass {
			t.Fatalf("the pool filled up too soon: %v", step)
		}
	}
	step, answered := stall.enter(stall.ticket("l", 1, 1, 100*time.Millisecond, "x"))
	if !answered || step.Kind != Refuse || step.Fault != apierror.PatienceShort || step.RetryAfter < time.Second {
		t.Fatalf("short patience: %+v", step)
	}
	patient := stall.ticket("l", 1, 1, time.Minute, "x")
	if step, answered := stall.enter(patient); answered {
		t.Fatalf("long patience: %+v", step)
	}
	stall.Release(stall.now, &Ticket{Lane: "l"}, "r00")
	if step := <-patient.Steps; step.Kind != Pass || step.Runner.ID != "r00" {
		t.Fatalf("a place came free: %+v", step)
	}
	stall.now = stall.now.Add(2 * time.Minute)
	late := stall.ticket("l", 1, 1, time.Minute, "x")
	stall.Enter(stall.now.Add(-2*time.Minute), late)
	stall.Settle(stall.now)
	if step := <-late.Steps; step.Kind != Refuse {
		t.Fatalf("patience used up: %+v", step)
	}
}

// Worth decides who goes first, and a full waitlist gives up its least bid.
func TestWorthOrdersTheWaitlist(t *testing.T) {
	stall := newStall(t, 1)
	for range 6 {
		stall.enter(stall.ticket("l", 1, 1, time.Minute, "x"))
	}
	var cheap []*Ticket
	for range WaitlistLength {
		ticket := stall.ticket("cheap", 1, 1, time.Hour, "x")
		ticket.Bid.Patience = 10 * time.Hour
		stall.Enter(stall.now, ticket)
		cheap = append(cheap, ticket)
	}
	dear := stall.ticket("dear", 50, 1, time.Hour, "x")
	if step, answered := stall.enter(dear); answered {
		t.Fatalf("the dear one: %+v", step)
	}
	refused := 0
	for _, ticket := range cheap {
		select {
		case step := <-ticket.Steps:
			if step.Fault != apierror.WaitlistFull {
				t.Fatalf("a cheap one: %+v", step)
			}
			refused++
		default:
		}
	}
	if refused != 1 {
		t.Fatalf("%d cheap ones gave way", refused)
	}
	stall.Release(stall.now, &Ticket{Lane: "l"}, "r00")
	select {
	case step := <-dear.Steps:
		if step.Kind != Pass {
			t.Fatalf("the dear one: %+v", step)
		}
	default:
		t.Fatal("a cheap one went first")
	}
}

// Under overload a lane beyond its purse waits behind one within, however much the first is worth.
func TestPurseKeepsLanesFromStarving(t *testing.T) {
	stall := newStall(t, 2)
	for range 20 {
		stall.Enter(stall.now, stall.ticket("rich", 100, 0.3, time.Hour, "x"))
	}
	poor := stall.ticket("poor", 1, 0.3, time.Hour, "y")
	if step, answered := stall.enter(poor); !answered || step.Kind != Pass {
		// The rich lane may hold only what others do not miss, so there is room.
		t.Fatalf("the poor lane starves: %+v %v", step, answered)
	}
	_, waiting, lanes := stall.State()
	if lanes["rich"] == 0 || waiting == 0 {
		t.Fatalf("the rich lane holds %d and %d wait", lanes["rich"], waiting)
	}
}

func TestVerdictsCoverEveryEnd(t *testing.T) {
	for _, end := range []End{NotSent, PutBack, Doubt, Broken} {
		for _, repeatable := range []bool{false, true} {
			verdict := After(end, repeatable)
			for flaw, found := range map[string]bool{
				"no verdict":             verdict.Otherwise == "" || verdict.Ran == "",
				"passed again":           verdict.Again && (end == Broken || end == Doubt && !repeatable),
				"repeats without budget": verdict.Again && end != NotSent && !verdict.Spends,
				"told as sure":           (end == Doubt || end == Broken) && verdict.Ran != Unknown,
			} {
				if found {
					t.Errorf("%s, %v: %s", end, repeatable, flaw)
				}
			}
		}
	}
}

func BenchmarkAward(bench *testing.B) {
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, kvblock.DefaultKeys, 16, 0)
	if err != nil {
		bench.Fatal(err)
	}
	book := load.NewBook(begun, "d1")
	var runners []*wire.Runner
	for number := range 18 {
		runners = append(runners, &wire.Runner{RunnerId: fmt.Sprintf("r%02d", number), Zone: "a", State: "ready"})
	}
	book.List(begun, runners)
	desk := NewDesk(func(now time.Time) Field { return Field{Runners: book.All(now, []string{"d1"}), Daemons: 1} }, book, indexer, rand.New(rand.NewSource(1)))
	keys := indexer.Processor.BlockKeys([]string{"a", "b", "c"}, kvblock.Extra{})
	bench.ReportAllocs()
	for bench.Loop() {
		ticket := &Ticket{Lane: "l", Purse: 1, Keys: keys, PartTokens: []int{1, 1, 1}, Steps: make(chan Step, 1), Bid: Bid{Worth: 1, Patience: time.Second, PromptTokens: 100}}
		desk.Enter(begun, ticket)
		step := <-ticket.Steps
		desk.Release(begun, ticket, step.Runner.ID)
	}
}

// A ticket that is taken off the queue leaves no trace, and those behind it move up.
func TestCancelledTicketGivesItsPlaceUp(t *testing.T) {
	stall := newStall(t, 1)
	var waiting []*Ticket
	for stalled := 0; stalled < 3; {
		ticket := stall.ticket("l", 1, 1, time.Minute, "a")
		if _, decided := stall.enter(ticket); !decided {
			waiting = append(waiting, ticket)
			stalled++
		}
	}
	first := waiting[0]
	_, length, before := stall.State()
	doubts := len(stall.doubts)
	if !stall.Cancel(first) || stall.Cancel(first) {
		t.Fatal("it is on the queue once")
	}
	_, left, after := stall.State()
	if left != length-1 || after["l"] != before["l"] || len(stall.doubts) != doubts || len(first.Steps) > 0 {
		t.Errorf("%d of %d wait, %v places of %v, %d doubts of %d", left, length, after, before, len(stall.doubts), doubts)
	}
}
