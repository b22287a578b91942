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

// What a runner tells of itself keeps its keys, and each is read into the field that wrote it.
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
