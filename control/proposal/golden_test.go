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

// The JSON keys of a reply are stable, since operators' tools read them.
func TestReplyKeepsItsKeys(t *testing.T) { golden.CompareJSON(t, "reply", encodeReply) }

// A reply decodes to the value that was encoded, as wtctl decodes it.
func TestReplyIsReadBack(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "reply.json"))
	if err != nil {
		t.Fatal(err)
	}
	read, wanted := Reply{}, Reply{}
	golden.Fill(&wanted)
	if err := json.Unmarshal(content, &read); err != nil || !reflect.DeepEqual(read, wanted) {
		t.Errorf("error %v, decoded %+v", err, read)
	}
}
