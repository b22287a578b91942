package registry

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/mailru/easyjson"

	"wardtray/verify/golden"
)

func encodeCall(call *Call) ([]byte, error) { return easyjson.Marshal(call) }

// The JSON keys of a runner's call must not change, and each must be decoded into the field that encoded it.
func TestCallKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "call", encodeCall)
	golden.CompareJSON(t, "counters", golden.Marshal[Counters])
	content, err := os.ReadFile(filepath.Join("testdata", "call.json"))
	if err != nil {
		t.Fatal(err)
	}
	read, wanted := Call{}, Call{}
	golden.Fill(&wanted)
	if err := easyjson.Unmarshal(content, &read); err != nil || !reflect.DeepEqual(read, wanted) {
		t.Errorf("%v, %+v", err, read)
	}
}
