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

// host is one machine of the model: a control machine or one with a data daemon.
type host struct {
	name          string
	zone          string
	isControlNode bool
	incarnation   int
	// everStarted reports whether the process was ever started; only its first start may found the fleet.
	everStarted bool
	up          bool
	frozen      bool
	// bootedAt is the time of the process's last start.
	bootedAt time.Time
	// poweredOff reports that the machine does not answer at all; one whose process is down but that has power refuses
	// connections.
	poweredOff bool
	// removed reports that the machine was decommissioned and then removed.
	removed         bool
	decommissioning bool
	node            *node.Node
	controller      *controller.Controller
	disk            *disk
	// document and view are the last ones of this host that the checker has checked.
	document *wire.Document
	view     *wire.View
	// writes are not synced yet; backlog holds the steps deferred until the end of a freeze.
	writes  []statemachine.Write
	backlog []deferredStep
}

// deferredStep is a step that is deferred until the end of a freeze; digest identifies what it does.
type deferredStep struct {
	digest uint64
	run    func()
}

// resume ends a freeze and runs the deferred steps in order.
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
	if host.isControlNode {
		host.node.Tick(now)
		return
	}
	host.controller.Tick(now)
}

// addToFingerprint adds everything that determines the host's next steps.
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
	if host.isControlNode {
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
