package proposal

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"wardtray/verify/golden"
)

func encodeReply(reply *Reply) ([]byte, error) { return reply.Encode(), nil }

// What operators read of an answer keeps its keys.
func TestReplyKeepsItsKeys(t *testing.T) { golden.CompareJSON(t, "reply", encodeReply) }

// An answer is read back whole, as wtctl reads it.
func TestReplyIsReadBack(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "reply.json"))
	if err != nil {
		t.Fatal(err)
	}
	read, wanted := Reply{}, Reply{}
	golden.Fill(&wanted)
	if err := json.Unmarshal(content, &read); err != nil || !reflect.DeepEqual(read, wanted) {
		t.Errorf("%v, %+v", err, read)
	}
}
