package node

import (
	"time"

	"wardtray/coordination/chain"
	"wardtray/coordination/registry"
	"wardtray/wire"
)

// Status is the state of a control machine as operators see it.
type Status struct {
	ID string `json:"id"`
	// View is the epoch of the current view, and Fleet the name of its fleet; 0 and empty before the first view.
	View  uint64 `json:"view"`
	Fleet string `json:"fleet"`
	// Position is the machine's position in the chain: head, middle, tail, head and tail, or outside.
	Position  string         `json:"place"`
	Chain     []MemberStatus `json:"chain"`
	Acceptors []MemberStatus `json:"keepers"`
	Daemons   []MemberStatus `json:"daemons"`
	// Synced is the sequence up to which its disk holds the history, and Committed the sequence up to which the history
	// is committed.
	Synced    uint64 `json:"synced"`
	Committed uint64 `json:"committed"`
	// Epoch is the version of the committed configuration.
	Epoch uint64 `json:"epoch"`
	// Pending is the number of entries that are not committed yet.
	Pending int `json:"pending"`
	// Requests is the number of operators' requests that wait for a response here.
	Requests int `json:"asks"`
	// HoldsLease reports whether it holds the leader's lease, and IsLeading whether it acts as head.
	HoldsLease bool `json:"claim"`
	IsLeading  bool `json:"leading"`
	Unhealthy  bool `json:"sick"`
	// Runners holds the counters of the runner registry.
	Runners registry.Counters `json:"runners"`
	// Warnings describes the failures that the fleet could no longer tolerate.
	Warnings []string `json:"warnings,omitempty"`
}

// MemberStatus is the state of a member or data daemon as a control machine knows it.
type MemberStatus struct {
	ID      string `json:"id,omitempty"`
	Address string `json:"address"`
	HTTP    string `json:"http,omitempty"`
	Zone    string `json:"zone"`
	// IsAlive reports whether a control machine was heard within the suspicion time, or a data daemon requested a lease
	// within the duration of one.
	IsAlive bool `json:"heard"`
	// Sequence is the newest sequence that it reported to have.
	Sequence  uint64 `json:"sequence,omitempty"`
	Unhealthy bool   `json:"sick,omitempty"`
}

// Status returns the current state for operators.
func (node *Node) Status(now time.Time) Status {
	members, daemons := node.members, node.daemons
	current, document := members.agent.Current(), members.chain.Committed()
	status := Status{ID: node.self.Id, View: current.Epoch, Fleet: current.Fleet, Position: positionName(members.chain),
		Synced: members.chain.Synced(), Committed: document.Sequence, Epoch: document.SpecEpoch,
		Pending: len(members.chain.Pending()), Requests: node.requests.Count(),
		HoldsLease: daemons.leadership.HoldsLease(now), IsLeading: daemons.leadership.IsLeading(now),
		Unhealthy: members.disk.IsUnhealthy(now), Runners: node.registrar.Counters()}
	for _, member := range current.Chain {
		status.Chain = append(status.Chain, members.chainMemberStatus(now, member))
	}
	for _, member := range current.Acceptors {
		status.Acceptors = append(status.Acceptors, members.memberStatus(now, member))
	}
	for _, member := range document.Directory {
		entry := MemberStatus{Address: member.Address, HTTP: member.Http, Zone: member.Zone}
		entry.Sequence, entry.IsAlive = daemons.leases.Progress(now, member.Address)
		status.Daemons = append(status.Daemons, entry)
	}
	status.Warnings = members.facts(now).Warnings()
	return status
}

// memberStatus returns the status of a control machine without the state that it reports.
func (members *members) memberStatus(now time.Time, member *wire.Member) MemberStatus {
	return MemberStatus{ID: member.Id, Address: members.detector.AddressOf(member), HTTP: member.Http,
		Zone: member.Zone, IsAlive: members.detector.IsAlive(now, member.Id)}
}

// chainMemberStatus returns the status of a member of the chain, with its sequence and health.
func (members *members) chainMemberStatus(now time.Time, member *wire.Member) MemberStatus {
	status := members.memberStatus(now, member)
	if peer := members.detector.Peer(member.Id); peer != nil {
		status.Sequence, status.Unhealthy = peer.Heartbeat.Synced, peer.Heartbeat.Unhealthy
	} else if member.Id == members.self.Id {
		status.Sequence, status.Unhealthy = members.chain.Synced(), members.disk.IsUnhealthy(now)
	}
	return status
}

// positionName returns the name of a machine's position in the chain, as Status reports it.
func positionName(chain *chain.Chain) string {
	switch {
	case !chain.IsMember():
		return "outside"
	case chain.IsHead() && chain.IsTail():
		return "head and tail"
	case chain.IsHead():
		return "head"
	case chain.IsTail():
		return "tail"
	}
	return "middle"
}
