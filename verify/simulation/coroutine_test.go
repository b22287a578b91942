package simulation

import (
	"context"
	"slices"
	"testing"
	"time"
)

func TestCoroutinesRunOneAtATime(t *testing.T) {
	host := runningHost(t)
	coroutines := host.world.coroutines
	var happened []string
	coroutines.spawn(host, func() {
		coroutines.sleep(time.Second)
		happened = append(happened, "slept")
	})
	ready := make(chan struct{})
	coroutines.spawn(host, func() {
		coroutines.wait(context.Background(), time.Minute, ready)
		happened = append(happened, "woken")
	})
	host.world.After(2*time.Second, func() {
		close(ready)
		coroutines.wakeReady(host)
	})
	host.world.Run(3 * time.Second)
	if want := []string{"slept", "woken"}; !slices.Equal(happened, want) {
		t.Errorf("steps %v, want %v", happened, want)
	}
	if len(host.coroutines) != 0 || coroutines.current != nil {
		t.Errorf("%d coroutines are left", len(host.coroutines))
	}
}

func TestCoroutinesEndWithTheirProcess(t *testing.T) {
	host, unwound, finished := runningHost(t), false, false
	coroutines := host.world.coroutines
	coroutines.spawn(host, func() {
		defer func() { unwound = true }()
		coroutines.sleep(time.Hour)
		finished = true
	})
	host.world.Run(time.Second)
	host.Kill()
	host.world.Run(2 * time.Hour)
	if !unwound || finished {
		t.Errorf("unwound %v, finished %v, want it unwound only", unwound, finished)
	}
}
