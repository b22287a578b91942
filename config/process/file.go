package process

import (
	"os"

	"github.com/mailru/easyjson"

	"wardtray/apierror"
	"wardtray/strictjson"
)

// Read reads a settings file. For an empty path it returns empty settings. Unknown and repeated keys, and a file that
// can't be read, are InvalidSettings errors. Values are not checked; see Settings.Check.
func Read(path string) (*Settings, error) {
	settings := &Settings{}
	if path == "" {
		return settings, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.InvalidSettings, "reading %s", path)
	}
	if err := strictjson.Check(content); err != nil {
		return nil, apierror.New(apierror.InvalidSettings, "%s: %s", path, apierror.Of(err).Detail)
	}
	if err := easyjson.Unmarshal(content, settings); err != nil {
		return nil, apierror.Wrap(err, apierror.InvalidSettings, "%s", path)
	}
	return settings, nil
}
