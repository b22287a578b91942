package config

import "testing"

// The encoding of a parsed change is parsed as the same change, and applying the change returns a valid spec or
// problems.
func FuzzParseChange(fuzz *testing.F) {
	fuzz.Add([]byte(`{"upsert":{"zones":[{"name":"a","closed":true}],"pools":[],"lanes":[]},"remove":{"lanes":["l"]}}`))
	fuzz.Add([]byte(`{"upsert":{"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":1,"repeatable":true}]}}`))
	fuzz.Add([]byte(`{"remove":{"zones":["a"],"pools":["p"]},"limits":{"body_bytes":5},"annotations":{"x":null}}`))
	fuzz.Add([]byte(`{"upsert":{"pools":[{"name":"p"},{"name":"p"}]},"remove":{"pools":["p"]}}`))
	present, err := Parse([]byte(valid))
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
			t.Fatalf("%s is parsed as another change: %v", encoded, err)
		}
		next, problems := change.Apply(present)
		if len(problems) > 0 {
			return
		}
		if back, err := Parse(next.Encode()); err != nil || len(back.Check()) > 0 || len(Diff(next, back)) > 0 {
			t.Fatalf("the encoding of the spec after %s is not parsed as the same valid spec: %v", content, err)
		}
		NewCatalog(next)
	})
}
