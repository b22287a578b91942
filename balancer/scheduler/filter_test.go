package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Where most runners are ejected, those whose ejection ends first are used all the same: a backend always has runners.
func TestEjectedRunnersAreReadmittedWhereMostAreEjected(t *testing.T) {
	fixture := newFixture(t, 8)
	for number := range 8 {
		fixture.table.Eject(fixture.now, fmt.Sprintf("r%02d", number), "gave no answer")
	}
	decision, answered := fixture.schedule(fixture.request("l", 1, 1, time.Second, "x"))
	if !answered || decision.Kind != Dispatch {
		t.Fatalf("%+v", decision)
	}
}
