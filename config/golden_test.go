package config

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"wardtray/verify/golden"
)

func encodeSpec(spec *Spec) ([]byte, error) { return spec.Encode(), nil }

func encodeChange(change *Change) ([]byte, error) { return change.Encode(), nil }

// The configuration document keeps every key, since operators and stored documents use them, and each key is read into
// the field that wrote it.
func TestSpecKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "spec", encodeSpec)
	wanted := &Spec{}
	golden.Fill(wanted)
	content := goldenContent(t, "spec.json")
	// Parse reads operators' documents, and Decode those that are stored or sent to daemons.
	for name, parse := range map[string]func([]byte) (*Spec, error){"Parse": Parse, "Decode": Decode} {
		if read, err := parse(content); err != nil || !reflect.DeepEqual(read, wanted) {
			t.Errorf("%s: %v, %+v", name, err, read)
		}
	}
}

// A change keeps its keys, and each is read into the field that wrote it.
func TestChangeKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "change", encodeChange)
	wanted := &Change{}
	golden.Fill(wanted)
	read, err := ParseChange(goldenContent(t, "change.json"))
	if err != nil || !reflect.DeepEqual(read, wanted) {
		t.Errorf("%v, %+v", err, read)
	}
}

// A problem keeps its keys.
func TestProblemKeepsItsKeys(t *testing.T) { golden.CompareJSON(t, "flaw", golden.Marshal[Problem]) }

func goldenContent(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}
