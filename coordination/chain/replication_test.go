package chain

import "testing"

// Each entry goes to the successor once while nothing is lost, and what waits for a slow successor is bounded.
func TestEntriesAreForwardedOnce(t *testing.T) {
	cluster := newCluster("a", "b")
	cluster.deliver()
	const entries, size = 20, 100 << 10
	for number := 1; number <= entries; number++ {
		entry := change(number)
		entry.Spec = make([]byte, size)
		if err := cluster.chains["a"].Submit(cluster.now, entry); err != nil {
			t.Fatal(err)
		}
		cluster.sync("a")
	}
	if waiting := countEntries(cluster.messages); waiting*size > sendWindow {
		t.Fatalf("%d bytes on their way to a successor that says nothing", waiting*size)
	}
	sent := 0
	for range 2 * entries {
		for cluster.gather(); len(cluster.messages) > 0; cluster.gather() {
			first := cluster.messages[0]
			cluster.messages = cluster.messages[1:]
			sent += countEntries([]message{first})
			cluster.handle(first)
		}
		cluster.sync("b")
	}
	if sent != entries || cluster.commits["b"] != entries || cluster.commits["a"] != entries {
		t.Fatalf("%d entries sent of %d, committed %d and %d", sent, entries, cluster.commits["a"], cluster.commits["b"])
	}
}

func countEntries(messages []message) (count int) {
	for _, message := range messages {
		if pass := message.envelope.GetChainForward(); pass != nil && pass.Entry != nil {
			count++
		}
	}
	return count
}

// A successor that makes progress between two retransmissions is sent nothing twice; one that does not is.
func TestRetransmissionOnlyWithoutProgress(t *testing.T) {
	cluster := newCluster("a", "b")
	cluster.deliver()
	enterAndSync(t, cluster, 1)
	enterAndSync(t, cluster, 2)
	// Both entries are lost.
	cluster.messages = nil
	for _, test := range []struct {
		name string
		step func()
		want int
	}{
		{"without progress", func() {}, 2},
		{"after the first entry was acknowledged", func() { cluster.chains["a"].successorProgress.synced = 1 }, 0},
		{"without progress since", func() {}, 1},
	} {
		test.step()
		cluster.now = cluster.now.Add(retransmitInterval)
		cluster.chains["a"].Tick(cluster.now)
		cluster.gather()
		if sent := countEntries(cluster.messages); sent != test.want {
			t.Errorf("%s: %d entries sent again, want %d", test.name, sent, test.want)
		}
		cluster.messages = nil
	}
}

// A member whose neighbours lack nothing retransmits less often.
func TestIdleMemberRetransmitsLessOften(t *testing.T) {
	cluster := newCluster("a", "b")
	cluster.deliver()
	head := cluster.chains["a"]
	if !head.idle() || head.retransmitDue(cluster.now.Add(retransmitInterval)) {
		t.Fatal("an idle head retransmits at the interval of a busy one")
	}
	if !head.retransmitDue(cluster.now.Add(idleRetransmitInterval)) {
		t.Fatal("an idle head never retransmits")
	}
	enterAndSync(t, cluster, 1)
	if head.idle() || !head.retransmitDue(cluster.now.Add(retransmitInterval)) {
		t.Fatal("a head with a pending entry does not retransmit")
	}
}
