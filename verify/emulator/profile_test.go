package emulator

import (
	"testing"
	"time"
)

func TestProfileWhileWarmingUp(t *testing.T) {
	profile := RunnerProfile{Slots: 4, WarmUpTime: 2 * time.Second, WarmUpSlowdown: 4, QueueLimit: 6}
	for _, test := range []struct {
		age       time.Duration
		warmingUp bool
		capacity  int
	}{
		{0, true, 1},
		{2*time.Second - 1, true, 1},
		{2 * time.Second, false, 4},
	} {
		if warmingUp := profile.isWarmingUp(test.age); warmingUp != test.warmingUp {
			t.Errorf("after %v: warming up %v", test.age, warmingUp)
		}
		if capacity := profile.capacity(test.age); capacity != test.capacity {
			t.Errorf("after %v: capacity %d, want %d", test.age, capacity, test.capacity)
		}
	}
	profile.WarmUpSlowdown = 8
	if capacity := profile.capacity(0); capacity != 1 {
		t.Errorf("capacity %d of a runner whose slowdown exceeds its number of slots, want 1", capacity)
	}
	if admissible := profile.admissible(); admissible != 10 {
		t.Errorf("%d requests are admissible, want 10", admissible)
	}
}

func TestFaultsSlowWork(t *testing.T) {
	for slowdown, want := range map[int64]time.Duration{
		0:  time.Second,
		1:  time.Second,
		10: 10 * time.Second,
	} {
		faults := &Faults{}
		faults.Slowdown.Store(slowdown)
		if length := faults.slowed(time.Second); length != want {
			t.Errorf("%d times slower: %v, want %v", slowdown, length, want)
		}
	}
}
