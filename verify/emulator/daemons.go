package emulator

import (
	"maps"
	"math/rand"
	"slices"
	"sync"
)

// daemonPool holds the addresses of the data daemons and their readiness as the platform has observed it. It is safe
// for concurrent use.
type daemonPool struct {
	// byZone holds the daemons' HTTP addresses by zone, zones the sorted zone names. Neither changes.
	byZone map[string][]string
	zones  []string

	mutex  sync.Mutex
	ready  map[string]bool
	random *rand.Rand
}

func newDaemonPool(byZone map[string][]string, seed int64) *daemonPool {
	return &daemonPool{
		byZone: byZone,
		zones:  slices.Sorted(maps.Keys(byZone)),
		ready:  map[string]bool{},
		random: rand.New(rand.NewSource(seed)),
	}
}

// addresses returns the addresses of all daemons.
func (pool *daemonPool) addresses() []string {
	var all []string
	for _, zone := range pool.zones {
		all = append(all, pool.byZone[zone]...)
	}
	return all
}

// setReady records whether a daemon is ready.
func (pool *daemonPool) setReady(address string, ready bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.ready[address] = ready
}

// pick returns the address of a random ready daemon in a zone, or in any zone if there is none in this one. It returns
// "" if no daemon is ready.
func (pool *daemonPool) pick(zone string) string {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	candidates := pool.readyIn(zone)
	if len(candidates) == 0 {
		candidates = pool.readyIn(pool.zones...)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[pool.random.Intn(len(candidates))]
}

func (pool *daemonPool) readyIn(zones ...string) []string {
	var found []string
	for _, zone := range zones {
		for _, address := range pool.byZone[zone] {
			if pool.ready[address] {
				found = append(found, address)
			}
		}
	}
	return found
}
