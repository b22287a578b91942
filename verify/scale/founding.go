package scale

import (
	"fmt"
	"time"

	"wardtray/apierror"
)

// found starts daemons and cores and waits until the whole directory is there and serves.
func (fleet *fleet) found() (Phase, error) {
	var err error
	phase := fleet.watch("founding", func(phase *Phase) {
		if err = fleet.startAll(); err != nil {
			return
		}
		if fleet.gather(phase) {
			fleet.furnish(phase)
		}
	})
	return phase, err
}

// startAll begins daemons and cores. Daemons that are there before the control plane come into an empty directory
// together; later ones come one by one.
func (fleet *fleet) startAll() error {
	if report := fleet.order(Order{Verb: "begin"}); report.Failure != "" {
		return apierror.New(apierror.BadSettings, "%s", report.Failure)
	}
	for _, process := range fleet.cores {
		if err := fleet.startCore(process); err != nil {
			return err
		}
	}
	return nil
}

// gather waits for a head and the whole directory, and tells whether that came.
func (fleet *fleet) gather(phase *Phase) bool {
	fleet.await(fleet.options.Founding, "a head", func() (bool, string) {
		leader := fleet.leader()
		return leader.Core.Leading, fmt.Sprintf("view %d", leader.Core.View)
	})
	// The head takes into an empty directory only who asks twice within its first second.
	fleet.order(Order{Verb: "pace", Slow: 1})
	took, whole := fleet.await(fleet.options.Founding, "founding", func() (bool, string) {
		pause(200 * time.Millisecond)
		leader := fleet.leader()
		return leader.Core.Leading && len(leader.Core.Daemons) >= fleet.options.Daemons,
			fmt.Sprintf("view %d, %d of %d in the directory", leader.Core.View, len(leader.Core.Daemons), fleet.options.Daemons)
	})
	phase.Figures["directory.seconds"] = took.Seconds()
	if !whole {
		// Those left come in one by one, each with a document to all, which is no quiet to measure.
		phase.Upset = true
		phase.Notes = append(phase.Notes, fmt.Sprintf("upset: the directory was not whole after %.0f s", took.Seconds()))
		return false
	}
	phase.Figures["directory.size"] = float64(len(fleet.leader().Core.Daemons))
	return true
}

// furnish gives the fleet its first spec and its runners, and waits until all daemons serve.
func (fleet *fleet) furnish(phase *Phase) {
	reply, took, wrong := fleet.change()
	if wrong != nil || reply.Outcome != "accepted" {
		phase.Notes = append(phase.Notes, fmt.Sprintf("the first spec: %s %s %v", reply.Outcome, reply.Detail, wrong))
	}
	phase.Figures["first_spec.seconds"] = took.Seconds()
	if fleet.options.Runners > 0 && !fleet.options.Listed {
		fleet.crowd = newCrowd(fleet.client.Cores)
		for number := range fleet.options.Runners {
			fleet.crowd.add(number, 0)
		}
		took, _ := fleet.know(phase, fleet.options.Founding)
		phase.Figures["runners.seconds"] = took.Seconds()
	}
	took, serving := fleet.serve(fleet.options.Founding)
	phase.Figures["serving.seconds"] = took.Seconds()
	if !serving {
		phase.Upset = true
		phase.Notes = append(phase.Notes, "upset: not all daemons served")
	}
}
