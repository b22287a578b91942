package chain

import (
	"math/rand"
	"testing"
	"time"
)

// shuffledCluster is a cluster in which messages and syncs arrive in any order, are lost and arrive twice.
type shuffledCluster struct {
	*cluster
	random  *rand.Rand
	names   []string
	entered int
}

// enter submits a change to the head.
func (shuffled *shuffledCluster) enter() {
	if shuffled.chains["a"].Submit(shuffled.now, change(shuffled.entered+1)) == nil {
		shuffled.entered++
	}
}

// deliverRandom delivers any message, which may arrive again; in calm none is lost.
func (shuffled *shuffledCluster) deliverRandom(calm bool) {
	if len(shuffled.messages) == 0 {
		return
	}
	index := shuffled.random.Intn(len(shuffled.messages))
	message := shuffled.messages[index]
	if shuffled.random.Intn(4) > 0 {
		shuffled.messages = append(shuffled.messages[:index], shuffled.messages[index+1:]...)
	}
	if calm || shuffled.random.Intn(5) > 0 {
		shuffled.handle(message)
	}
}

func (shuffled *shuffledCluster) randomName() string { return shuffled.names[shuffled.random.Intn(4)] }

// step does one thing at random; changes are entered only outside of calm.
func (shuffled *shuffledCluster) step(calm bool) {
	shuffled.now = shuffled.now.Add(10 * time.Millisecond)
	shuffled.gather()
	choices := []func(){
		func() {
			if !calm {
				shuffled.enter()
			}
		},
		func() { shuffled.sync(shuffled.randomName()) },
		func() { shuffled.chains[shuffled.randomName()].Tick(shuffled.now) },
		func() { shuffled.deliverRandom(calm) },
	}
	choices[shuffled.random.Intn(len(choices))]()
}

// converge lets time pass until all messages have been exchanged.
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

// Under losses, repeats and any order of messages and syncs, each history holds what its successor holds, and all of
// it arrives in the end.
func TestHistoriesAgreeUnderAnyOrder(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		names := []string{"a", "b", "c", "d"}
		shuffled := &shuffledCluster{cluster: newCluster(names...), random: rand.New(rand.NewSource(seed)), names: names}
		for step := range 3000 {
			shuffled.step(step > 2000)
			for index := range names[:3] {
				if shuffled.chains[names[index+1]].Synced() > shuffled.chains[names[index]].Synced() {
					t.Fatalf("seed %d: %s has more than %s", seed, names[index+1], names[index])
				}
			}
			if excess := len(shuffled.messages) - 200; excess > 0 {
				shuffled.messages = shuffled.messages[excess:]
			}
		}
		shuffled.converge()
		for _, name := range names {
			if got := shuffled.chains[name].Committed(); got.SpecEpoch != uint64(shuffled.entered) || shuffled.entered == 0 {
				t.Fatalf("seed %d: %s committed %d of %d", seed, name, got.SpecEpoch, shuffled.entered)
			}
		}
	}
}
