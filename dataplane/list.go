package dataplane

import (
	"bytes"
	"encoding/json"
	"errors"

	"wardtray/wire"
)

// ListedRunner is an entry of the platform's list of runners.
type ListedRunner struct {
	RunnerID string `json:"runner_id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	State    string `json:"state"`
}

// errEmptyList is returned for a list without entries. A fault of the platform is a more likely cause than a fleet
// without runners, and adopting the list would stop all service.
var errEmptyList = errors.New("the platform's list of runners is empty")

// parseList decodes the platform's list of runners. Entries without an id or an address are skipped.
func parseList(content []byte) ([]*wire.Runner, error) {
	var entries []ListedRunner
	// Unlike json.Unmarshal, a Decoder accepts bytes after the list; they are ignored.
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(&entries); err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, errEmptyList
	}
	var runners []*wire.Runner
	for _, entry := range entries {
		if entry.RunnerID == "" || entry.Address == "" {
			continue
		}
		runners = append(runners, &wire.Runner{
			RunnerId: entry.RunnerID,
			Address:  entry.Address,
			Zone:     entry.Zone,
			Service:  entry.Service,
			State:    entry.State,
		})
	}
	return runners, nil
}
