package directory

import "testing"

func TestLearnerTick(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		self            string
		decommissioning bool
		want            int
	}{"outside": {"c", false, 1}, "inside": {"b", false, 0}, "decommissioned": {"c", true, 0}} {
		fixture := newFixture(test.self, "")
		fixture.learner.Tick(start, test.decommissioning)
		fixture.learner.Tick(start.Add(LearnInterval-1), test.decommissioning)
		messages, _ := fixture.outbox.Drain()
		if len(messages) != test.want || test.want == 1 && messages[0].To != "b:1" {
			t.Errorf("%s: sent %v", name, messages)
		}
		fixture.learner.Expedite()
		fixture.learner.Tick(start.Add(LearnInterval-1), test.decommissioning)
		if messages, _ := fixture.outbox.Drain(); len(messages) != test.want {
			t.Errorf("%s, expedited: sent %v", name, messages)
		}
	}
}
