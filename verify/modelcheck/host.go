package modelcheck

import (
	"fmt"
	"reflect"
	"time"

	"wardtray/control/node"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane/controller"
	"wardtray/wire"
)

// host is one machine of the model.
type host struct {
	name        string
	zone        string
	core        bool
	incarnation int
	// everStarted means that its process was ever started; a later start founds nothing.
	everStarted bool
	up          bool
	frozen      bool
	// bootedAt is when its process began.
	bootedAt time.Time
	// poweredOff means that nothing at all answers; a machine that is down but not powered off refuses connections.
	poweredOff bool
	// removed means that the machine left by order and was taken away.
	removed         bool
	decommissioning bool
	node            *node.Node
	controller      *controller.Controller
	disk            *disk
	// document and view are those of this host that were checked last.
	document *wire.Document
	view     *wire.View
	// writes wait for the disk, backlog for the end of a freeze.
	writes  []statemachine.Write
	backlog []deferredStep
}

// deferredStep is a step that waits for the end of a freeze; digest stands for what it does.
type deferredStep struct {
	digest uint64
	run    func()
}

// resume ends a freeze: all that waited for it is done.
func (host *host) resume() {
	host.frozen = false
	backlog := host.backlog
	host.backlog = nil
	for _, delayed := range backlog {
		delayed.run()
	}
}

// tick ticks the process that runs on a host.
func (host *host) tick(now time.Time) {
	if host.core {
		host.node.Tick(now)
		return
	}
	host.controller.Tick(now)
}

// addToFingerprint adds all that decides how the host goes on.
func (host *host) addToFingerprint(hash *digest, walker *walker, now time.Time) {
	hash.addText(
		fmt.Sprint(host.incarnation, host.everStarted, host.up, host.frozen, host.poweredOff, host.removed,
			host.decommissioning),
	)
	hash.addTime(now, host.bootedAt)
	for _, delayed := range host.backlog {
		hash.add(delayed.digest)
	}
	hash.add(walker.walk(reflect.ValueOf(host.node)))
	hash.add(walker.walk(reflect.ValueOf(host.controller)))
	if host.core {
		hash.add(uint64(host.disk.digest))
	}
	hash.add(walker.walk(reflect.ValueOf(host.writes)))
}

func (host *host) nameOrNobody() string {
	if host == nil {
		return "nobody"
	}
	return host.name
}
