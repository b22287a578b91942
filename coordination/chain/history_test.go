package chain

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

func lone(documents ...*wire.Document) *row {
	made := &row{now: started, chains: map[string]*Chain{}, outbox: map[string]*statemachine.Outbox{}, writes: map[string][]statemachine.Write{}, commits: map[string]uint64{}}
	made.add("a")
	if len(documents) > 0 {
		made.chains["a"] = New("a", documents[0], nil, made.outbox["a"], func(member *wire.Member) string { return member.Id }, func(_ time.Time, sequence uint64) { made.commits["a"] = sequence })
	}
	made.adopt(1, "a")
	return made
}

// wantRemembered wants just the operations to be found that a document remembers.
func wantRemembered(t *testing.T, history history, want *wire.Document, entries int) {
	t.Helper()
	remembered := map[string]bool{}
	for _, outcome := range want.Outcomes {
		remembered[outcome.Operation] = true
	}
	for number := 1; number <= entries; number++ {
		operation := fmt.Sprint("o", number)
		if found := history.outcomes.byOperation[operation]; (found != nil) != remembered[operation] {
			t.Fatalf("%s found %v, remembered %v", operation, found, remembered[operation])
		}
	}
}

// The history gives what folding each entry into a document gives, byte for byte, also past the bound of what is
// remembered, also for documents that were looked at earlier, and an operation is found as long as it is remembered.
func TestHistoryAgreesWithFold(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	history, want := newHistory(&wire.Document{}, nil), &wire.Document{}
	type kept struct {
		document *wire.Document
		content  string
	}
	var documents []kept
	const entries = MaximumOutcomes + 700
	for number := 1; number <= entries; number++ {
		entry := change(number)
		entry.Sequence = uint64(number)
		if random.Intn(10) == 0 {
			entry = &wire.Entry{Sequence: uint64(number), Directory: []*wire.Member{{Id: fmt.Sprint(number)}}}
		}
		history.append(entry)
		want = Fold(want, entry)
		if number%97 == 0 || number > MaximumOutcomes && number%31 == 0 {
			content := encoded(t, want)
			if got := encoded(t, history.latest()); got != content {
				t.Fatalf("entry %d: another document", number)
			}
			documents = append(documents, kept{history.latest(), content})
		}
		for len(history.pending) > random.Intn(MaximumPending) {
			history.commitFirst()
		}
	}
	for _, kept := range documents {
		if encoded(t, kept.document) != kept.content {
			t.Fatalf("document %d was changed later", kept.document.Sequence)
		}
	}
	wantRemembered(t, history, want, entries)
	for len(history.pending) > 0 {
		history.commitFirst()
	}
	if encoded(t, history.committed) != encoded(t, want) || history.pendingBytes != 0 {
		t.Fatalf("in the end another document, %d bytes pending", history.pendingBytes)
	}
}

func encoded(t *testing.T, document *wire.Document) string {
	t.Helper()
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// A fixed amount of memory for each change, however many were accepted before.
func TestCostOfAChangeDoesNotGrow(t *testing.T) {
	cost := func(before int) float64 {
		row, number := grown(before), before
		return testing.AllocsPerRun(2000, func() {
			number++
			enter(t, row, number)
		})
	}
	bytes := func(before int) int64 {
		return testing.Benchmark(func(b *testing.B) {
			row := grown(before)
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				enter(b, row, before+number+1)
			}
		}).AllocedBytesPerOp()
	}
	if first, last := cost(10), cost(MaximumOutcomes); last > first+2 {
		t.Errorf("%.1f allocations a change at first, %.1f later", first, last)
	}
	if last := bytes(MaximumOutcomes); last > 4096 {
		t.Errorf("%d bytes a change after %d", last, MaximumOutcomes)
	}
}

// grown gives a chain of one that has taken some changes.
func grown(changes int) *row {
	document := &wire.Document{}
	for number := 1; number <= changes; number++ {
		document.Outcomes = append(document.Outcomes, &wire.Outcome{Operation: fmt.Sprint("o", number), SpecEpoch: uint64(number), Sequence: uint64(number)})
	}
	document.Sequence, document.SpecEpoch = uint64(changes), uint64(changes)
	return lone(document)
}

// enter takes a change at the head as an operator's call does, and syncs it.
func enter(t testing.TB, row *row, number int) {
	chain := row.chains["a"]
	if chain.Latest() == nil || chain.Outcome(fmt.Sprint("o", number)) != nil {
		t.Fatal("taken already")
	}
	if err := chain.Enter(row.now, change(number)); err != nil {
		t.Fatal(err)
	}
	row.sync("a")
	row.mail = nil
}

func BenchmarkChange(b *testing.B) {
	for _, before := range []int{0, 500, MaximumOutcomes} {
		b.Run(fmt.Sprintf("after %d", before), func(b *testing.B) {
			row := grown(before)
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				enter(b, row, before+number+1)
			}
		})
	}
}

// What is pending together is bounded in bytes; a single entry of any size passes.
func TestPendingBytesAreBounded(t *testing.T) {
	row := lone()
	large := func(number, size int) *wire.Entry {
		entry := change(number)
		entry.Spec = make([]byte, size)
		return entry
	}
	chain := row.chains["a"]
	if err := chain.Enter(row.now, large(1, 2*MaximumPendingBytes)); err != nil {
		t.Fatal(err)
	}
	if err := chain.Enter(row.now, large(2, 1)); !apierror.Is(err, apierror.Busy) {
		t.Fatalf("taken beyond the bound: %v", err)
	}
	row.sync("a")
	for number := 2; number < 6; number++ {
		if err := chain.Enter(row.now, large(number, MaximumPendingBytes/4)); err != nil {
			t.Fatal(err)
		}
	}
	if err := chain.Enter(row.now, large(6, 1)); !apierror.Is(err, apierror.Busy) {
		t.Fatalf("taken beyond the bound: %v", err)
	}
}

// Each entry goes to the successor once while nothing is lost, and what waits for a slow successor is bounded.
func TestEntriesArePassedOnce(t *testing.T) {
	row := newRow("a", "b")
	row.deliver()
	const entries, size = 20, 100 << 10
	for number := 1; number <= entries; number++ {
		entry := change(number)
		entry.Spec = make([]byte, size)
		if err := row.chains["a"].Enter(row.now, entry); err != nil {
			t.Fatal(err)
		}
		row.sync("a")
	}
	if waiting := passes(row.mail); waiting*size > sendWindow {
		t.Fatalf("%d bytes on their way to a successor that says nothing", waiting*size)
	}
	sent := 0
	for range 2 * entries {
		for row.gather(); len(row.mail) > 0; row.gather() {
			first := row.mail[0]
			row.mail = row.mail[1:]
			sent += passes([]letter{first})
			row.hand(first)
		}
		row.sync("b")
	}
	if sent != entries || row.commits["b"] != entries || row.commits["a"] != entries {
		t.Fatalf("%d entries sent of %d, committed %d and %d", sent, entries, row.commits["a"], row.commits["b"])
	}
}

func passes(mail []letter) (count int) {
	for _, letter := range mail {
		if pass := letter.envelope.GetChainForward(); pass != nil && pass.Entry != nil {
			count++
		}
	}
	return count
}

// Of several documents that a member outside the chain is sent while its disk is at work on the first, the first is
// brought to its end. If each took the place of the one before, a slow disk would never come in.
func TestLearningIsBroughtToItsEnd(t *testing.T) {
	row := newRow("a")
	row.add("b")
	row.adopt(2, "a")
	row.deliver()
	learner := row.chains["b"]
	row.gather()
	for number := 1; number <= 5; number++ {
		enterAt(t, row, "a", number)
		learner.AskToLearn("a")
		row.deliver()
	}
	first := row.writes["b"][0]
	row.outbox["b"].Done(row.now, first.Sequence)
	if learner.LearnedView() != 2 || learner.Committed().SpecEpoch != 1 || learner.Synced() != 1 {
		t.Fatalf("learned in view %d, committed %d, synced %d", learner.LearnedView(), learner.Committed().SpecEpoch, learner.Synced())
	}
	learner.AskToLearn("a")
	row.deliver()
	row.sync("b")
	if learner.Committed().SpecEpoch != 5 || learner.Synced() != 5 {
		t.Fatalf("then committed %d, synced %d", learner.Committed().SpecEpoch, learner.Synced())
	}
}

func enterAt(t *testing.T, row *row, name string, number int) {
	t.Helper()
	if err := row.chains[name].Enter(row.now, change(number)); err != nil {
		t.Fatal(err)
	}
	row.sync(name)
}

// A member that learned the document outside the chain says, also on its disk, that it may lack something, until its
// predecessor in the chain has seen it to have all and the disk holds that.
func TestJoinerIsIncompleteUntilItHasAll(t *testing.T) {
	row := newRow("a")
	row.add("b")
	row.adopt(2, "a")
	row.deliver()
	enterAt(t, row, "a", 1)
	joiner := row.chains["b"]
	joiner.AskToLearn("a")
	row.deliver()
	if write := row.writes["b"][0]; write.Record.GetDocument() == nil || !write.Record.Incomplete {
		t.Fatalf("the disk is told %v", write.Record)
	}
	row.sync("b")
	enterAt(t, row, "a", 2)
	row.adopt(3, "a", "b")
	row.deliver()
	if memory := new(wire.DurableState); joiner.Incomplete() {
		joiner.Memory(memory)
		if !memory.Incomplete {
			t.Fatal("a whole memory says nothing of it")
		}
	} else {
		t.Fatal("complete before it was sent what came meanwhile")
	}
	row.sync("b")
	row.deliver()
	if !joiner.Incomplete() || joiner.Committed().SpecEpoch != 2 {
		t.Fatalf("incomplete %v with %d committed, before the disk holds that it is not", joiner.Incomplete(), joiner.Committed().SpecEpoch)
	}
	row.sync("b")
	if joiner.Incomplete() {
		t.Fatal("still incomplete")
	}
}
