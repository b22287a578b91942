package fleet

import (
	"strings"
	"testing"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

// Operators' calls are recorded, and a read that returns an older state than an earlier one is a violation. Without the
// record, a control machine that forgets a committed configuration would go undetected.
func TestOperatorsCallsAreChecked(t *testing.T) {
	core, fake := serveCore(t, map[string]fakeResponse{
		"GET /v1/spec":             {200, `{"outcome":"found","epoch":1,"spec":{}}`},
		"GET /v1/operations/first": {200, `{"outcome":"accepted","epoch":1}`},
		"PUT /v1/spec?base=0&operation=first": {200,
			`{"outcome":"accepted","epoch":1}`},
	})
	history := histories.New()
	fleet := &Fleet{Operator: newOperator(history), History: history, Deployment: Deployments["guild"]}
	fleet.apply(t.Context(), core, "first", 0, "")
	for range 2 {
		if _, err := fleet.Operator.Get(t.Context(), core); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := fleet.Operator.Outcome(t.Context(), core, "first"); err != nil {
		t.Fatal(err)
	}
	if found := violationsOf(linearizability.Check(fleet.Recording(), time.Minute)); len(found) > 0 {
		t.Fatal(found)
	}
	fake.responses["GET /v1/spec"] = fakeResponse{404, `{"outcome":"empty"}`}
	if _, err := fleet.Operator.Get(t.Context(), core); err == nil {
		t.Fatal("Get returned no error for a missing configuration")
	}
	found := violationsOf(linearizability.Check(fleet.Recording(), time.Minute))
	if len(found) != 1 || found[0].Rule != ruleLinearizable || !strings.Contains(found[0].Detail, "configuration") {
		t.Errorf("violations %v, want one about the configuration", found)
	}
	undecided := linearizability.Verdict{Undecided: []string{"a part"}}
	if found := violationsOf(undecided); len(found) != 1 || !strings.Contains(found[0].Detail, "a part") {
		t.Errorf("violations %v, want one about the undecided part", found)
	}
}
