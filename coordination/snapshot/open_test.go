package snapshot

import "testing"

func TestNewestSlot(t *testing.T) {
	file := func(name string, generation uint64, valid bool) slotFile {
		return slotFile{name: name, slot: slot{generation: generation}, valid: valid}
	}
	for name, test := range map[string]struct {
		slots      [2]slotFile
		generation uint64
		want       string
	}{
		"the slot of the log":                {[2]slotFile{file("even", 4, true), file("odd", 3, true)}, 4, "even"},
		"a slot whose log was not started":   {[2]slotFile{file("even", 4, true), file("odd", 5, true)}, 4, "odd"},
		"the slot of the log and a torn one": {[2]slotFile{file("even", 4, true), file("odd", 0, false)}, 4, "even"},
		"only a slot older than the log":     {[2]slotFile{file("even", 0, false), file("odd", 3, true)}, 4, ""},
		"no valid slot":                      {[2]slotFile{file("even", 0, false), file("odd", 0, false)}, 0, ""},
	} {
		got := ""
		if newest := newestSlot(test.slots, test.generation); newest != nil {
			got = newest.name
		}
		if got != test.want {
			t.Errorf("%s: slot %q, want %q", name, got, test.want)
		}
	}
}
