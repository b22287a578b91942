package chain

import "testing"

// While no message is lost, each entry is sent to the successor once, and the entries in flight to a slow successor are
// bounded by sendWindow. Sending all unacknowledged entries at each sync would break both.
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
	if inFlight := countEntries(cluster.messages); inFlight*size > sendWindow {
		t.Fatalf("%d bytes in flight to a successor that has acknowledged nothing, want at most %d",
			inFlight*size, sendWindow)
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
		if forward := message.envelope.GetChainForward(); forward != nil && forward.Entry != nil {
			count++
		}
	}
	return count
}

// Entries are retransmitted to a successor that made no progress since the last retransmission, and to no other.
func TestRetransmissionOnlyWithoutProgress(t *testing.T) {
	cluster := newCluster("a", "b")
	cluster.deliver()
	submitAndSync(t, cluster, 1)
	submitAndSync(t, cluster, 2)
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
			t.Errorf("%s: %d entries retransmitted, want %d", test.name, sent, test.want)
		}
		cluster.messages = nil
	}
}

// A member whose neighbours in the chain lack nothing retransmits at idleRetransmitInterval.
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
	submitAndSync(t, cluster, 1)
	if head.idle() || !head.retransmitDue(cluster.now.Add(retransmitInterval)) {
		t.Fatal("a head with a pending entry does not retransmit")
	}
}
