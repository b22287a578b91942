package chain

import "testing"

// A tail whose disk is slower than changes come in never has all that its predecessor has by now. It needs only what
// that had when the view began, since nothing newer was committed before; else no change is ever committed again.
func TestASlowTailComesUpWhileChangesGoOn(t *testing.T) {
	row := newRow("a", "b", "c")
	enter(t, row, 1)
	for range 4 {
		row.deliver()
		row.sync("a")
		row.sync("b")
		row.sync("c")
	}
	row.deliver()
	row.adopt(2, "a", "b")
	for number := range 30 {
		enterAt(t, row, "a", number+2)
		row.now = row.now.Add(resend)
		row.chains["a"].Tick(row.now)
		row.chains["b"].Tick(row.now)
		row.sync("a")
		row.deliver()
		// The disk of the tail is always one change behind.
		row.gather()
		if writes := row.writes["b"]; len(writes) > 1 {
			row.outbox["b"].Done(row.now, writes[len(writes)-2].Sequence)
			row.writes["b"] = writes[len(writes)-1:]
		}
	}
	if !row.chains["b"].Tail() {
		t.Fatal("the tail waits for what goes on coming in")
	}
	if committed := row.chains["b"].Committed().Sequence; committed < 20 {
		t.Fatalf("committed up to %d only", committed)
	}
}
