package chain

import (
	"math/rand"
	"testing"
	"time"
)

// shuffledCluster is a cluster in which messages are lost, repeated and reordered, and disks sync at random moments.
type shuffledCluster struct {
	*cluster
	random *rand.Rand
	names  []string
	// submitted is the number of changes that the head has accepted.
	submitted int
}

// submit submits a change at the head.
func (shuffled *shuffledCluster) submit() {
	if shuffled.chains["a"].Submit(shuffled.now, change(shuffled.submitted+1)) == nil {
		shuffled.submitted++
	}
}

// deliverRandom delivers a random message, which may be repeated later; unless lossless, it may be lost.
func (shuffled *shuffledCluster) deliverRandom(lossless bool) {
	if len(shuffled.messages) == 0 {
		return
	}
	index := shuffled.random.Intn(len(shuffled.messages))
	message := shuffled.messages[index]
	if shuffled.random.Intn(4) > 0 {
		shuffled.messages = append(shuffled.messages[:index], shuffled.messages[index+1:]...)
	}
	if lossless || shuffled.random.Intn(5) > 0 {
		shuffled.handle(message)
	}
}

func (shuffled *shuffledCluster) randomName() string { return shuffled.names[shuffled.random.Intn(4)] }

// step executes a random action; changes are submitted only while messages may be lost.
func (shuffled *shuffledCluster) step(lossless bool) {
	shuffled.now = shuffled.now.Add(10 * time.Millisecond)
	shuffled.gather()
	choices := []func(){
		func() {
			if !lossless {
				shuffled.submit()
			}
		},
		func() { shuffled.sync(shuffled.randomName()) },
		func() { shuffled.chains[shuffled.randomName()].Tick(shuffled.now) },
		func() { shuffled.deliverRandom(lossless) },
	}
	choices[shuffled.random.Intn(len(choices))]()
}

// converge lets enough time pass for all entries to be retransmitted, synced and committed.
func (shuffled *shuffledCluster) converge() {
	for range 30 {
		shuffled.now = shuffled.now.Add(time.Second)
		for _, name := range shuffled.names {
			shuffled.chains[name].Tick(shuffled.now)
			shuffled.sync(name)
		}
		shuffled.deliver()
	}
}

// While messages are lost, repeated and reordered and disks sync at random moments, no member syncs more than its
// predecessor. Once messages are no longer lost, every member commits every change.
func TestHistoriesAgreeUnderAnyOrder(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		names := []string{"a", "b", "c", "d"}
		shuffled := &shuffledCluster{cluster: newCluster(names...), random: rand.New(rand.NewSource(seed)), names: names}
		for step := range 3000 {
			shuffled.step(step > 2000)
			for index := range names[:3] {
				if shuffled.chains[names[index+1]].Synced() > shuffled.chains[names[index]].Synced() {
					t.Fatalf("seed %d: %s has synced more than %s", seed, names[index+1], names[index])
				}
			}
			if excess := len(shuffled.messages) - 200; excess > 0 {
				shuffled.messages = shuffled.messages[excess:]
			}
		}
		shuffled.converge()
		for _, name := range names {
			if got := shuffled.chains[name].Committed(); got.SpecEpoch != uint64(shuffled.submitted) || shuffled.submitted == 0 {
				t.Fatalf("seed %d: %s committed %d of %d changes", seed, name, got.SpecEpoch, shuffled.submitted)
			}
		}
	}
}
