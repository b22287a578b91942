package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// If most runners of a backend are ejected, some are readmitted. Otherwise a fault that affects all runners, such as an
// overload, would leave the backend without any runner.
func TestEjectedRunnersAreReadmittedWhereMostAreEjected(t *testing.T) {
	fixture := newFixture(t, 8)
	for number := range 8 {
		fixture.table.Eject(fixture.now, fmt.Sprintf("r%02d", number), "gave no answer")
	}
	decision, decided := fixture.schedule(fixture.request("l", 1, 1, time.Second, "x"))
	if !decided || decision.Kind != Dispatch {
		t.Fatalf("with all runners ejected: %+v", decision)
	}
}
