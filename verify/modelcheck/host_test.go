package modelcheck

import "testing"

func TestHostResumesItsBacklogInOrder(t *testing.T) {
	resumed, order := &host{frozen: true}, ""
	for _, name := range []string{"a", "b"} {
		resumed.backlog = append(resumed.backlog, deferredStep{run: func() { order += name }})
	}
	resumed.resume()
	if order != "ab" || resumed.frozen || len(resumed.backlog) != 0 {
		t.Errorf("order %s, frozen %v, %d steps left", order, resumed.frozen, len(resumed.backlog))
	}
}

func TestScenarioNamesItsFounders(t *testing.T) {
	founders := (&Scenario{ControlNodes: 3, Founders: 2}).founders()
	if len(founders) != 2 || founders[0] != controlNodeName(0) || founders[1] != controlNodeName(1) {
		t.Errorf("founders are %v", founders)
	}
}
