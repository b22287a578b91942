package simulation

import "testing"

func TestNetworkDrawsLagWithinDelayAndJitter(t *testing.T) {
	network := NewWorld(1).network
	for range 1000 {
		if lag := network.lag(); lag < defaultDelay || lag > defaultDelay+defaultJitter {
			t.Fatalf("a message takes %v", lag)
		}
	}
}
