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

// fold returns the document that results from applying an entry to another, by its definition: it copies all outcomes.
// The history must agree with it while it does without that copy.
func fold(document *wire.Document, entry *wire.Entry) *wire.Document {
	folded := foldWithoutOutcomes(document, entry)
	if entry.ChangesSpec {
		outcomes := append(append([]*wire.Outcome{}, document.Outcomes...), outcomeOf(entry))
		folded.Outcomes = outcomes[max(0, len(outcomes)-MaximumOutcomes):]
	}
	return folded
}

// checkRemembered wants just the operations to be found that a document remembers.
func checkRemembered(t *testing.T, history history, want *wire.Document, entries int) {
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
				t.Fatalf("entry %d: another document", number)
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
	checkRemembered(t, history, want, entries)
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
func TestCostOfAChangeIsConstant(t *testing.T) {
	cost := func(before int) float64 {
		cluster, number := newSingleWith(before), before
		return testing.AllocsPerRun(2000, func() {
			number++
			enter(t, cluster, number)
		})
	}
	bytes := func(before int) int64 {
		return testing.Benchmark(benchmarkOfChange(before)).AllocedBytesPerOp()
	}
	if first, last := cost(10), cost(MaximumOutcomes); last > first+2 {
		t.Errorf("%.1f allocations a change at first, %.1f later", first, last)
	}
	if last := bytes(MaximumOutcomes); last > 4096 {
		t.Errorf("%d bytes a change after %d", last, MaximumOutcomes)
	}
}

// benchmarkOfChange returns a benchmark of one change after some others were committed.
func benchmarkOfChange(before int) func(b *testing.B) {
	return func(b *testing.B) {
		b.Helper()
		cluster := newSingleWith(before)
		b.ReportAllocs()
		b.ResetTimer()
		for number := range b.N {
			enter(b, cluster, before+number+1)
		}
	}
}

func BenchmarkChange(b *testing.B) {
	for _, before := range []int{0, 500, MaximumOutcomes} {
		b.Run(fmt.Sprintf("after %d", before), benchmarkOfChange(before))
	}
}

// What is pending together is bounded in bytes; a single entry of any size passes.
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
		t.Fatalf("taken beyond the bound: %v", err)
	}
	cluster.sync("a")
	for number := 2; number < 6; number++ {
		if err := chain.Submit(cluster.now, large(number, MaximumPendingBytes/4)); err != nil {
			t.Fatal(err)
		}
	}
	if err := chain.Submit(cluster.now, large(6, 1)); !apierror.Is(err, apierror.Busy) {
		t.Fatalf("taken beyond the bound: %v", err)
	}
}
