package strictjson

import (
	"strings"
	"testing"

	"wardtray/apierror"
)

func TestCheckAcceptsDocuments(t *testing.T) {
	for _, content := range []string{
		`{}`, `[]`, `null`, `1.5`, `"text"`, " {\"a\": [1, {\"b\": {}}], \"c\": \"a\"}\n",
		// A value may equal its key, and two objects may have the same keys.
		`{"a":"a","b":["a","a"]}`, `[{"a":1},{"a":2}]`, `{"a":{"a":{"a":1}}}`,
		nested(MaximumDepth, ""),
	} {
		if err := Check([]byte(content)); err != nil {
			t.Errorf("%s: %v", content, err)
		}
	}
}

// nested returns a value enclosed in the given number of arrays.
func nested(depth int, value string) string {
	return strings.Repeat("[", depth) + value + strings.Repeat("]", depth)
}

func TestCheckBoundsNesting(t *testing.T) {
	firstOf := strings.Repeat("[0]", MaximumDepth)
	for content, path := range map[string]string{
		nested(MaximumDepth+1, ""): firstOf,
		strings.Repeat(`{"a":`, MaximumDepth) + `{}` + strings.Repeat("}", MaximumDepth): "a" +
			strings.Repeat(".a", MaximumDepth-1),
		`{"a":` + nested(MaximumDepth-1, `{"b":1}`) + `,"a":{"b":1}}`: "a" + strings.Repeat("[0]", MaximumDepth-1),
	} {
		err := Check([]byte(content))
		if !apierror.Is(err, apierror.Malformed) || !strings.Contains(err.Error(), path+" is nested too deep") {
			t.Errorf("%s: wanted %q, got %v", content, path, err)
		}
	}
}

func TestCheckNamesTheFirstViolation(t *testing.T) {
	for content, violation := range map[string]string{
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
	} {
		err := Check([]byte(content))
		if !apierror.Is(err, apierror.Malformed) || !strings.Contains(err.Error(), violation) {
			t.Errorf("%s: wanted %q, got %v", content, violation, err)
		}
	}
}
