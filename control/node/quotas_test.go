package node

import (
	"testing"
	"time"

	"wardtray/wire"
)

const specOfTenants = `{"zones":[],"pools":[{"name":"p","services":["s"]}],"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":1}],
"tenants":[{"name":"t","keys":["k"],"quota":{"rate":1000,"burst":500}}]}`

// reporter is a data daemon that asks for a lease and for shares of a quota.
type reporter struct {
	address     string
	nonce       uint64
	incarnation uint64
	claim       *wire.QuotaTenantReport
}

// ask sends a question to the head and gives the answer, which is handled in the same step.
func (fleet *testFleet) ask(reporter *reporter) *wire.DaemonLeaseGrant {
	head := fleet.leader()
	if head == nil {
		return nil
	}
	reporter.nonce++
	question := &wire.DaemonLeaseRequest{
		Nonce:       reporter.nonce,
		Sequence:    head.node.Chain().Committed().Sequence,
		Zone:        "z",
		Incarnation: reporter.incarnation,
		View:        head.node.View().Epoch,
		Quota:       &wire.QuotaReport{},
	}
	if reporter.claim != nil {
		question.Quota.Tenants = []*wire.QuotaTenantReport{reporter.claim}
	}
	fleet.drain(head)
	head.node.Receive(
		fleet.now,
		&wire.Envelope{
			From:   reporter.address,
			Sender: reporter.address,
			Body:   &wire.Envelope_DaemonLeaseRequest{DaemonLeaseRequest: question},
		},
	)
	messages, writes := head.node.Ready()
	head.writes = append(head.writes, writes...)
	var answer *wire.DaemonLeaseGrant
	for _, message := range messages {
		if grant := message.Envelope.GetDaemonLeaseGrant(); grant != nil && message.To == reporter.address {
			answer = grant
			continue
		}
		fleet.mail = append(fleet.mail, message)
	}
	return answer
}

// leased asks until the daemon stands in the directory, and all that was committed is delivered to it.
func (fleet *testFleet) leased(reporters ...*reporter) {
	fleet.t.Helper()
	fleet.until("leases for all daemons", 20*time.Second, func() bool {
		all := fleet.now.UnixMilli()%100 == 0
		for _, one := range reporters {
			if fleet.now.UnixMilli()%100 == 0 {
				grant := fleet.ask(one)
				all = all && grant != nil && grant.Granted
			}
		}
		return all
	})
}

// tokens reports a need and gives what the daemon is given.
func (fleet *testFleet) tokens(reporter *reporter, need float64) float64 {
	reporter.claim = &wire.QuotaTenantReport{Tenant: "t", Demand: 100, Need: need}
	defer func() { reporter.claim = nil }()
	grant := fleet.ask(reporter)
	if grant == nil || grant.Quota == nil || len(grant.Quota.Shares) != 1 {
		return 0
	}
	return grant.Quota.Shares[0].Tokens
}

// The head gives daemons tokens of a tenant's quota, and another head none of them a second time.
func TestTheHeadIssuesQuotas(t *testing.T) {
	fleet := newTestFleet(t, 3)
	first, second := &reporter{address: "d1", incarnation: 1}, &reporter{address: "d2", incarnation: 2}
	operator := fleet.send(fleet.members[0],
		&wire.OperatorRequest{Verb: "apply", Operation: "o", Spec: []byte(specOfTenants)})
	fleet.leased(first, second)
	fleet.until("the spec is acknowledged", 10*time.Second, func() bool {
		if fleet.now.UnixMilli()%100 == 0 {
			fleet.ask(first)
			fleet.ask(second)
		}
		return operator.status == 200
	})
	// A new head's backend fills from nothing, at the rate, up to the burst and the tolerance.
	for range 60 {
		fleet.run(100 * time.Millisecond)
		fleet.ask(first)
		fleet.ask(second)
	}
	if given := fleet.tokens(first, 400); given < 400 {
		t.Fatalf("%v of 400 given", given)
	}
	if given := fleet.tokens(second, 5000); given >= 5000 || given < 100 {
		t.Fatalf("%v given of more than there is", given)
	}
	head := fleet.leader()
	fleet.kill(head)
	fleet.until("another head", 20*time.Second, func() bool { return fleet.leader() != nil && fleet.leader() != head })
	// The first daemon does not report; what it may hold of the rate and of the burst is given to nobody until its term
	// is over.
	if given := fleet.tokens(second, 5000); given > 0 {
		t.Errorf("a new head gives %v before it knows what is held", given)
	}
	fleet.leased(first, second)
	fleet.run(time.Second)
	if given := fleet.tokens(second, 300); given < 300 {
		t.Errorf("once all have reported, %v of 300 given", given)
	}
}

// A daemon without a lease gets no share, and one that holds nothing is not waited for.
func TestOnlyLeasedDaemonsGetShares(t *testing.T) {
	fleet := newTestFleet(t, 4)
	fleet.until("a head", 20*time.Second, func() bool { return fleet.leader() != nil })
	stranger := &reporter{address: "d9", incarnation: 9, claim: &wire.QuotaTenantReport{Tenant: "t", Need: 10}}
	if grant := fleet.ask(stranger); grant == nil || grant.Granted || grant.Quota != nil {
		t.Errorf("%v", grant)
	}
}
