package node

import (
	"testing"
	"time"

	"wardtray/wire"
)

const configurationWithQuota = `{"zones":[],"pools":[{"name":"p","services":["s"]}],"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":1}],
"tenants":[{"name":"t","keys":["k"],"quota":{"rate":1000,"burst":500}}]}`

// quotaDaemon is a data daemon that requests a lease and shares of a quota.
type quotaDaemon struct {
	address     string
	nonce       uint64
	incarnation uint64
	report      *wire.QuotaTenantReport
}

// requestLease delivers a daemon's lease request to the head, and returns the answer; nil if there is no head.
func (fleet *testFleet) requestLease(daemon *quotaDaemon) *wire.DaemonLeaseGrant {
	head := fleet.leader()
	if head == nil {
		return nil
	}
	daemon.nonce++
	request := &wire.DaemonLeaseRequest{
		Nonce:       daemon.nonce,
		Sequence:    head.node.Chain().Committed().Sequence,
		Zone:        "z",
		Incarnation: daemon.incarnation,
		View:        head.node.View().Epoch,
		Quota:       &wire.QuotaReport{},
	}
	if daemon.report != nil {
		request.Quota.Tenants = []*wire.QuotaTenantReport{daemon.report}
	}
	fleet.drain(head)
	head.node.Receive(
		fleet.now,
		&wire.Envelope{
			From:   daemon.address,
			Sender: daemon.address,
			Body:   &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: request},
		},
	)
	messages, writes := head.node.Ready()
	head.writes = append(head.writes, writes...)
	var answer *wire.DaemonLeaseGrant
	for _, message := range messages {
		if grant := message.Envelope.GetDaemonLeaseGrant(); grant != nil && message.To == daemon.address {
			answer = grant
			continue
		}
		fleet.inFlight = append(fleet.inFlight, message)
	}
	return answer
}

// waitForLeases runs until every daemon has obtained a lease in the same step.
func (fleet *testFleet) waitForLeases(daemons ...*quotaDaemon) {
	fleet.t.Helper()
	fleet.until("leases for all daemons", 20*time.Second, func() bool {
		all := fleet.now.UnixMilli()%100 == 0
		for _, daemon := range daemons {
			if fleet.now.UnixMilli()%100 == 0 {
				grant := fleet.requestLease(daemon)
				all = all && grant != nil && grant.Granted
			}
		}
		return all
	})
}

// requestTokens reports a daemon's need, and returns the tokens granted to it.
func (fleet *testFleet) requestTokens(daemon *quotaDaemon, need float64) float64 {
	daemon.report = &wire.QuotaTenantReport{Tenant: "t", Demand: 100, Need: need}
	defer func() { daemon.report = nil }()
	grant := fleet.requestLease(daemon)
	if grant == nil || grant.Quota == nil || len(grant.Quota.Shares) != 1 {
		return 0
	}
	return grant.Quota.Shares[0].Tokens
}

// Guards against a quota that is exceeded after a takeover: the head grants daemons tokens of a tenant's quota, and a
// new head must not grant the same tokens again.
func TestTheHeadIssuesQuotas(t *testing.T) {
	fleet := newTestFleet(t, 3)
	first, second := &quotaDaemon{address: "d1", incarnation: 1}, &quotaDaemon{address: "d2", incarnation: 2}
	operator := fleet.send(fleet.members[0],
		&wire.OperatorRequest{Verb: "apply", Operation: "o", Spec: []byte(configurationWithQuota)})
	fleet.waitForLeases(first, second)
	fleet.until("the acknowledgement of the configuration", 10*time.Second, func() bool {
		if fleet.now.UnixMilli()%100 == 0 {
			fleet.requestLease(first)
			fleet.requestLease(second)
		}
		return operator.status == 200
	})
	// A new head's token bucket fills from zero at the rate, up to the burst and the tolerance.
	for range 60 {
		fleet.run(100 * time.Millisecond)
		fleet.requestLease(first)
		fleet.requestLease(second)
	}
	if granted := fleet.requestTokens(first, 400); granted < 400 {
		t.Fatalf("%v of 400 tokens granted", granted)
	}
	if granted := fleet.requestTokens(second, 5000); granted >= 5000 || granted < 100 {
		t.Fatalf("%v tokens granted, which is not between 100 and the available ones", granted)
	}
	head := fleet.leader()
	fleet.kill(head)
	fleet.until("another head", 20*time.Second, func() bool { return fleet.leader() != nil && fleet.leader() != head })
	// The first daemon does not report. Until its term is over, the tokens of the rate and of the burst that it may hold
	// are granted to no other daemon.
	if granted := fleet.requestTokens(second, 5000); granted > 0 {
		t.Errorf("a new head grants %v tokens before it knows what is held", granted)
	}
	fleet.waitForLeases(first, second)
	fleet.run(time.Second)
	if granted := fleet.requestTokens(second, 300); granted < 300 {
		t.Errorf("after all daemons have reported, %v of 300 tokens granted", granted)
	}
}

// Guards against quota shares for a daemon without a lease.
func TestOnlyLeasedDaemonsGetShares(t *testing.T) {
	fleet := newTestFleet(t, 4)
	fleet.until("a head", 20*time.Second, func() bool { return fleet.leader() != nil })
	stranger := &quotaDaemon{address: "d9", incarnation: 9, report: &wire.QuotaTenantReport{Tenant: "t", Need: 10}}
	if grant := fleet.requestLease(stranger); grant == nil || grant.Granted || grant.Quota != nil {
		t.Errorf("a daemon without a lease got %v", grant)
	}
}
