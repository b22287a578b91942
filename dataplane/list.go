package dataplane

import (
	"bytes"
	"encoding/json"
	"errors"

	"wardtray/wire"
)

// ListedRunner is one runner in the platform's list.
type ListedRunner struct {
	RunnerID string `json:"runner_id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	State    string `json:"state"`
}

// errEmptyList is returned for a list without any entry. That is more likely a platform in trouble than a fleet without
// runners, and acting on it would stop all service.
var errEmptyList = errors.New("the platform's list of runners is empty")

// parseList decodes the platform's list. Entries without an identity or an address are skipped.
func parseList(content []byte) ([]*wire.Runner, error) {
	var entries []ListedRunner
	// Bytes behind the list are ignored, so this is no json.Unmarshal.
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
