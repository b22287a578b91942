package process

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/mailru/easyjson"

	"wardtray/verify/golden"
)

func encode(startup *Startup) ([]byte, error) { return easyjson.Marshal(startup) }

// The startup file keeps its keys, and each is read into the field that wrote it.
func TestStartupKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "startup", encode)
	wanted := &Startup{}
	golden.Fill(wanted)
	// These two are no keys of the file.
	wanted.Idle, wanted.Adapter = false, ""
	read, err := Read(filepath.Join("testdata", "startup.json"))
	if err != nil || !reflect.DeepEqual(read, wanted) {
		t.Errorf("%v, %+v", err, read)
	}
}
