package strictjson

import (
	"strings"
	"testing"

	"wardtray/apierror"
)

func TestWholeDocumentsPass(t *testing.T) {
	for _, content := range []string{
		`{}`, `[]`, `null`, `1.5`, `"text"`, " {\"a\": [1, {\"b\": {}}], \"c\": \"a\"}\n",
		// A text may equal its name, and two objects may have the same names.
		`{"a":"a","b":["a","a"]}`, `[{"a":1},{"a":2}]`, `{"a":{"a":{"a":1}}}`,
		strings.Repeat("[", MaximumDepth) + strings.Repeat("]", MaximumDepth),
	} {
		if err := Check([]byte(content)); err != nil {
			t.Errorf("%s: %v", content, err)
		}
	}
}

func TestFirstFlawIsNamed(t *testing.T) {
	for content, flaw := range map[string]string{
		"\"\xff\"":                      "not valid UTF-8",
		``:                              "at byte 0",
		`{"a":1`:                        "at byte 6",
		`{"a" 1}`:                       "at byte",
		`]`:                             "at byte",
		`{"a":1,"a":2}`:                 "a is given twice",
		`{"a":[0,{"b":1,"c":2,"b":3}]}`: "a[1].b is given twice",
		`{"x":{"a":"a"},"x":1}`:         "x is given twice",
		`{}{}`:                          "text after the end, at byte",
		`1 2`:                           "text after the end, at byte",
		strings.Repeat("[", MaximumDepth+1) + strings.Repeat("]", MaximumDepth+1):                                         strings.Repeat("[0]", MaximumDepth) + " is nested too deep",
		strings.Repeat(`{"a":`, MaximumDepth) + `{}` + strings.Repeat("}", MaximumDepth):                                  "a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a is nested too deep",
		`{"a":` + strings.Repeat("[", MaximumDepth-1) + `{"b":1}` + strings.Repeat("]", MaximumDepth-1) + `,"a":{"b":1}}`: "a" + strings.Repeat("[0]", MaximumDepth-1) + " is nested too deep",
	} {
		err := Check([]byte(content))
		if !apierror.Is(err, apierror.Malformed) || !strings.Contains(err.Error(), flaw) {
			t.Errorf("%s: wanted %q, got %v", content, flaw, err)
		}
	}
}
