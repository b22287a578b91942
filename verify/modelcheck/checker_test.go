package modelcheck

import (
	"encoding/json"
	"strings"
	"testing"

	"wardtray/control/proposal"
)

// TestCheckerComparesResponses checks that contradictory responses are reported under their property, and that
// consistent ones are accepted.
func TestCheckerComparesResponses(t *testing.T) {
	left, right := Request{
		Verb:      "apply",
		Operation: "left",
		Base:      1,
	}, Request{
		Verb:      "apply",
		Operation: "right",
		Base:      1,
	}
	scenario := &Scenario{Name: "answers", Requests: []Request{left, right, left}}
	type response struct {
		index, status int
		epoch         uint64
		operation     string
	}
	for name, test := range map[string]struct {
		responses []response
		violated  string
	}{
		"one wins":                           {[]response{{0, 200, 2, "left"}, {1, 409, 2, "right"}}, ""},
		"the same response twice":            {[]response{{0, 200, 2, "left"}, {2, 200, 2, "left"}}, ""},
		"outcome unknown, then accepted":     {[]response{{0, 504, 0, "left"}, {2, 200, 2, "left"}}, ""},
		"unavailable, then accepted":         {[]response{{0, 503, 0, "left"}, {2, 200, 2, "left"}}, ""},
		"both accepted on one base":          {[]response{{0, 200, 2, "left"}, {1, 200, 3, "right"}}, "P2"},
		"refused, then accepted":             {[]response{{0, 409, 1, "left"}, {2, 200, 2, "left"}}, "P2"},
		"accepted, then refused":             {[]response{{0, 200, 2, "left"}, {2, 409, 2, "left"}}, "P2"},
		"accepted under two epochs":          {[]response{{0, 200, 2, "left"}, {2, 200, 3, "left"}}, "P2"},
		"the response for another operation": {[]response{{0, 200, 2, "right"}}, "P5"},
		"two responses to one request":       {[]response{{0, 200, 2, "left"}, {0, 200, 2, "left"}}, "P5"},
		"sent once, refused, then accepted":  {[]response{{1, 503, 0, "right"}, {1, 200, 3, "right"}}, "P5"},
	} {
		checker := newWorld(scenario).checker
		checker.effective = map[string]uint64{}
		checker.copies = map[string]int{"left": toleratedFaults + 1, "right": toleratedFaults + 1}
		for _, one := range test.responses {
			if one.status == 200 {
				checker.effective[one.operation] = max(checker.effective[one.operation], one.epoch)
			}
			checker.checkResponse(one.index, one.status,
				encode(t, proposal.Reply{Operation: one.operation, Epoch: one.epoch}))
		}
		if !strings.HasPrefix(checker.violation, test.violated) || test.violated == "" && checker.violation != "" {
			t.Errorf("%s: violation %q, want %q", name, checker.violation, test.violated)
		}
	}
}

// TestAcknowledgedWithoutCopies checks that the acknowledgement of a change that too few disks hold, or that is not
// committed, is reported.
func TestAcknowledgedWithoutCopies(t *testing.T) {
	scenario := &Scenario{Name: "copies", Requests: []Request{{Verb: "apply", Operation: "left", Base: 1}}}
	for name, prepare := range map[string]func(checker *checker){
		"one copy": func(checker *checker) {
			checker.effective["left"], checker.copies["left"] = 2, toleratedFaults
		},
		"not committed": func(checker *checker) { checker.copies["left"] = toleratedFaults + 1 },
	} {
		checker := newWorld(scenario).checker
		prepare(checker)
		checker.checkResponse(0, 200, encode(t, proposal.Reply{Operation: "left", Epoch: 2}))
		if !strings.HasPrefix(checker.violation, "P3") {
			t.Errorf("%s: violation %q, want P3", name, checker.violation)
		}
	}
}

// TestStaleReadsAreDetected checks that a read is reported that returns an epoch older than the one acknowledged before
// the read was sent.
func TestStaleReadsAreDetected(t *testing.T) {
	scenario := &Scenario{Name: "reads", Requests: []Request{{Verb: "get"}}}
	for epoch, violated := range map[uint64]string{1: "P1", 2: "", 3: ""} {
		checker := newWorld(scenario).checker
		checker.epochAtRequest[0] = 2
		checker.checkResponse(0, 200, encode(t, proposal.Reply{Epoch: epoch}))
		if got, _, _ := strings.Cut(checker.violation, ":"); got != violated {
			t.Errorf("epoch %d: violation %q", epoch, checker.violation)
		}
	}
}

func encode(t *testing.T, reply proposal.Reply) []byte {
	t.Helper()
	content, err := json.Marshal(reply)
	if err != nil {
		t.Fatal(err)
	}
	return content
}
