package config

import "testing"

// A change that was read is read again from its own encoding, and applying it to any spec returns a valid one or
// problems.
func FuzzParseChange(fuzz *testing.F) {
	fuzz.Add([]byte(`{"upsert":{"zones":[{"name":"a","closed":true}],"pools":[],"lanes":[]},"remove":{"lanes":["l"]}}`))
	fuzz.Add([]byte(`{"upsert":{"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":1,"repeatable":true}]}}`))
	fuzz.Add([]byte(`{"remove":{"zones":["a"],"pools":["p"]},"limits":{"body_bytes":5},"annotations":{"x":null}}`))
	fuzz.Add([]byte(`{"upsert":{"pools":[{"name":"p"},{"name":"p"}]},"remove":{"pools":["p"]}}`))
	present, err := Parse([]byte(good))
	if err != nil {
		fuzz.Fatal(err)
	}
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		change, err := ParseChange(content)
		if err != nil {
			return
		}
		encoded := change.Encode()
		again, err := ParseChange(encoded)
		if err != nil || string(again.Encode()) != string(encoded) {
			t.Fatalf("%s is read back as another: %v", encoded, err)
		}
		next, problems := change.Apply(present)
		if len(problems) > 0 {
			return
		}
		if back, err := Parse(next.Encode()); err != nil || len(back.Check()) > 0 || len(Diff(next, back)) > 0 {
			t.Fatalf("%s makes a document that is not read back: %v", content, err)
		}
		NewCatalog(next)
	})
}
