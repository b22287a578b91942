package chain

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/wire"
)

// fold is the reference implementation of applying an entry to a document: it copies all outcomes. The history must
// give equal documents without that copy.
func fold(document *wire.Document, entry *wire.Entry) *wire.Document {
	folded := foldWithoutOutcomes(document, entry)
	if entry.ChangesSpec {
		outcomes := append(append([]*wire.Outcome{}, document.Outcomes...), outcomeOf(entry))
		folded.Outcomes = outcomes[max(0, len(outcomes)-MaximumOutcomes):]
	}
	return folded
}

// checkRetainedOutcomes fails the test unless the history finds exactly those operations whose outcomes are in the
// document want.
func checkRetainedOutcomes(t *testing.T, history history, want *wire.Document, entries int) {
	t.Helper()
	retained := map[string]bool{}
	for _, outcome := range want.Outcomes {
		retained[outcome.Operation] = true
	}
	for number := 1; number <= entries; number++ {
		operation := fmt.Sprint("o", number)
		if found := history.outcomes.byOperation[operation]; (found != nil) != retained[operation] {
			t.Fatalf("%s: found outcome %v, retained in the document: %v", operation, found, retained[operation])
		}
	}
}

// The history's documents equal those of fold byte for byte, also beyond MaximumOutcomes, and documents that were read
// earlier stay unchanged although they share the array of outcomes. An operation is found exactly as long as its
// outcome is retained.
func TestHistoryAgreesWithFold(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	history, want := newHistory(&wire.Document{}, nil), &wire.Document{}
	type observed struct {
		document *wire.Document
		content  string
	}
	var documents []observed
	const entries = MaximumOutcomes + 700
	for number := 1; number <= entries; number++ {
		entry := change(number)
		entry.Sequence = uint64(number)
		if random.Intn(10) == 0 {
			entry = &wire.Entry{Sequence: uint64(number), Directory: []*wire.Member{{Id: strconv.Itoa(number)}}}
		}
		history.append(entry)
		want = fold(want, entry)
		if number%97 == 0 || number > MaximumOutcomes && number%31 == 0 {
			content := encoded(t, want)
			if got := encoded(t, history.latest()); got != content {
				t.Fatalf("entry %d: the history's document differs from that of fold", number)
			}
			documents = append(documents, observed{history.latest(), content})
		}
		for len(history.pending) > random.Intn(MaximumPending) {
			history.commitFirst()
		}
	}
	for _, observed := range documents {
		if encoded(t, observed.document) != observed.content {
			t.Fatalf("document %d was changed later", observed.document.Sequence)
		}
	}
	checkRetainedOutcomes(t, history, want, entries)
	for len(history.pending) > 0 {
		history.commitFirst()
	}
	if encoded(t, history.committed) != encoded(t, want) || history.pendingBytes != 0 {
		t.Fatalf("after all commits: the document differs from that of fold, or %d pending bytes remain",
			history.pendingBytes)
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

// The memory allocated for each change doesn't depend on the number of changes accepted before. It would if each change
// copied all outcomes.
func TestCostOfAChangeIsConstant(t *testing.T) {
	cost := func(before int) float64 {
		cluster, number := newSingleWith(before), before
		return testing.AllocsPerRun(2000, func() {
			number++
			submitOperation(t, cluster, number)
		})
	}
	bytes := func(before int) int64 {
		return testing.Benchmark(benchmarkChange(before)).AllocedBytesPerOp()
	}
	if first, last := cost(10), cost(MaximumOutcomes); last > first+2 {
		t.Errorf("%.1f allocations per change after 10 changes, %.1f after %d", first, last, MaximumOutcomes)
	}
	if last := bytes(MaximumOutcomes); last > 4096 {
		t.Errorf("%d bytes per change after %d changes", last, MaximumOutcomes)
	}
}

// benchmarkChange returns a benchmark of one change after a number of others were committed.
func benchmarkChange(before int) func(b *testing.B) {
	return func(b *testing.B) {
		b.Helper()
		cluster := newSingleWith(before)
		b.ReportAllocs()
		b.ResetTimer()
		for number := range b.N {
			submitOperation(b, cluster, before+number+1)
		}
	}
}

func BenchmarkChange(b *testing.B) {
	for _, before := range []int{0, 500, MaximumOutcomes} {
		b.Run(fmt.Sprintf("after %d", before), benchmarkChange(before))
	}
}

// The total size of pending changes is bounded; a single change of any size is accepted while none is pending. Without
// a bound, a snapshot and the log, which hold all pending changes, could fill the disk.
func TestPendingBytesAreBounded(t *testing.T) {
	cluster := newSingle()
	large := func(number, size int) *wire.Entry {
		entry := change(number)
		entry.Spec = make([]byte, size)
		return entry
	}
	chain := cluster.chains["a"]
	if err := chain.Submit(cluster.now, large(1, 2*MaximumPendingBytes)); err != nil {
		t.Fatal(err)
	}
	if err := chain.Submit(cluster.now, large(2, 1)); !apierror.Is(err, apierror.Busy) {
		t.Fatalf("accepted a change beyond MaximumPendingBytes: %v", err)
	}
	cluster.sync("a")
	for number := 2; number < 6; number++ {
		if err := chain.Submit(cluster.now, large(number, MaximumPendingBytes/4)); err != nil {
			t.Fatal(err)
		}
	}
	if err := chain.Submit(cluster.now, large(6, 1)); !apierror.Is(err, apierror.Busy) {
		t.Fatalf("accepted a change beyond MaximumPendingBytes: %v", err)
	}
}
