package modelcheck

import (
	"encoding/json"
	"strings"
	"testing"

	"wardtray/control/proposal"
)

// TestCheckerComparesResponses wants each pair of answers that can't both be true noticed, and honest ones let pass.
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
	type given struct {
		index, status int
		epoch         uint64
		operation     string
	}
	for name, attempt := range map[string]struct {
		answers []given
		broken  string
	}{
		"one wins":                        {[]given{{0, 200, 2, "left"}, {1, 409, 2, "right"}}, ""},
		"again the same":                  {[]given{{0, 200, 2, "left"}, {2, 200, 2, "left"}}, ""},
		"unknown, then accepted":          {[]given{{0, 504, 0, "left"}, {2, 200, 2, "left"}}, ""},
		"no way, then accepted":           {[]given{{0, 503, 0, "left"}, {2, 200, 2, "left"}}, ""},
		"both on one base":                {[]given{{0, 200, 2, "left"}, {1, 200, 3, "right"}}, "P2"},
		"refused, then accepted":          {[]given{{0, 409, 1, "left"}, {2, 200, 2, "left"}}, "P2"},
		"accepted, then refused":          {[]given{{0, 200, 2, "left"}, {2, 409, 2, "left"}}, "P2"},
		"accepted under two epochs":       {[]given{{0, 200, 2, "left"}, {2, 200, 3, "left"}}, "P2"},
		"another's answer":                {[]given{{0, 200, 2, "right"}}, "P5"},
		"answered twice":                  {[]given{{0, 200, 2, "left"}, {0, 200, 2, "left"}}, "P5"},
		"one that was sent once, refused": {[]given{{1, 503, 0, "right"}, {1, 200, 3, "right"}}, "P5"},
	} {
		checker := newWorld(scenario).checker
		checker.effective = map[string]uint64{}
		checker.copies = map[string]int{"left": toleratedFaults + 1, "right": toleratedFaults + 1}
		for _, one := range attempt.answers {
			if one.status == 200 {
				checker.effective[one.operation] = max(checker.effective[one.operation], one.epoch)
			}
			checker.checkResponse(one.index, one.status,
				encode(t, proposal.Reply{Operation: one.operation, Epoch: one.epoch}))
		}
		if !strings.HasPrefix(checker.violation, attempt.broken) || attempt.broken == "" && checker.violation != "" {
			t.Errorf("%s: %q, wanted %q", name, checker.violation, attempt.broken)
		}
	}
}

// TestAcknowledgedWithoutCopies wants an acknowledgement that rests on one disk noticed, and one of nothing at all.
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
			t.Errorf("%s: %q", name, checker.violation)
		}
	}
}

// TestStaleReadsAreDetected wants a read noticed that is older than what was acknowledged before it was asked.
func TestStaleReadsAreDetected(t *testing.T) {
	scenario := &Scenario{Name: "reads", Requests: []Request{{Verb: "get"}}}
	for epoch, broken := range map[uint64]string{1: "P1", 2: "", 3: ""} {
		checker := newWorld(scenario).checker
		checker.epochAtRequest[0] = 2
		checker.checkResponse(0, 200, encode(t, proposal.Reply{Epoch: epoch}))
		if got, _, _ := strings.Cut(checker.violation, ":"); got != broken {
			t.Errorf("epoch %d: %q", epoch, checker.violation)
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
