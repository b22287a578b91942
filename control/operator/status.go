package operator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"

	"wardtray/apierror"
	"wardtray/control/server"
	"wardtray/dataplane/daemon"
)

// FleetStatus holds the status of every process that responded, with each list ordered by address.
type FleetStatus struct {
	ControlNodes []server.Status `json:"cores"`
	Daemons      []daemon.Status `json:"datas"`
	// Unreachable are the HTTP addresses of the processes that did not respond.
	Unreachable []string `json:"silent,omitempty"`
}

// Status collects the status of the complete fleet: of the configured control nodes, those of their views, and the data
// daemons that these know. It fails with the code Unreachable if no control node responds.
func (client *Client) Status() (FleetStatus, error) {
	fleet := FleetStatus{}
	daemons := client.collectControlNodes(&fleet)
	if len(fleet.ControlNodes) == 0 {
		controlNodes := strings.Join(client.ControlNodes, ", ")
		return fleet, apierror.New(apierror.Unreachable, "none of %s answers", controlNodes)
	}
	client.collectDaemons(&fleet, daemons)
	sort.Slice(fleet.ControlNodes, func(i, j int) bool {
		return fleet.ControlNodes[i].Address < fleet.ControlNodes[j].Address
	})
	sort.Slice(fleet.Daemons, func(i, j int) bool { return fleet.Daemons[i].Address < fleet.Daemons[j].Address })
	sort.Strings(fleet.Unreachable)
	return fleet, nil
}

// collectControlNodes asks the configured control nodes and those of their views, one after another and each once. It
// returns the HTTP addresses of the data daemons that they know.
func (client *Client) collectControlNodes(fleet *FleetStatus) map[string]bool {
	asked, daemons := map[string]bool{}, map[string]bool{}
	pending := append([]string{}, client.ControlNodes...)
	for len(pending) > 0 {
		address := pending[0]
		pending = pending[1:]
		if asked[address] || address == "" {
			continue
		}
		asked[address] = true
		status := server.Status{}
		if !client.fetchStatus(address, &status) {
			fleet.Unreachable = append(fleet.Unreachable, address)
			continue
		}
		fleet.ControlNodes = append(fleet.ControlNodes, status)
		for _, member := range status.Core.Chain {
			pending = append(pending, member.HTTP)
		}
		for _, member := range status.Core.Acceptors {
			pending = append(pending, member.HTTP)
		}
		for _, member := range status.Core.Daemons {
			daemons[member.HTTP] = true
		}
	}
	return daemons
}

// collectDaemons asks the data daemons at these HTTP addresses concurrently.
func (client *Client) collectDaemons(fleet *FleetStatus, addresses map[string]bool) {
	var mutex sync.Mutex
	var pending sync.WaitGroup
	for address := range addresses {
		pending.Go(func() {
			status := daemon.Status{}
			responded := client.fetchStatus(address, &status)
			mutex.Lock()
			defer mutex.Unlock()
			if responded {
				fleet.Daemons = append(fleet.Daemons, status)
			} else {
				fleet.Unreachable = append(fleet.Unreachable, address)
			}
		})
	}
	pending.Wait()
}

// fetchStatus reads a process's status and reports whether it responded with one.
func (client *Client) fetchStatus(address string, status any) bool {
	call := httpRequest{method: http.MethodGet, address: address, path: "/v1/status", timeout: statusTimeout}
	code, content, err := client.send(call)
	return err == nil && code == http.StatusOK && json.Unmarshal(content, status) == nil
}
