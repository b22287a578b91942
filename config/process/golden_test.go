package process

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/mailru/easyjson"

	"wardtray/verify/golden"
)

func encode(settings *Settings) ([]byte, error) { return easyjson.Marshal(settings) }

// The settings file keeps its keys, since operators use them, and each key is read into the field that wrote it.
func TestSettingsKeepTheirKeys(t *testing.T) {
	golden.CompareJSON(t, "startup", encode)
	wanted := &Settings{}
	golden.Fill(wanted)
	// These two fields are not keys of the file.
	wanted.Diskless, wanted.Adapter = false, ""
	read, err := Read(filepath.Join("testdata", "startup.json"))
	if err != nil || !reflect.DeepEqual(read, wanted) {
		t.Errorf("%v, %+v", err, read)
	}
}
