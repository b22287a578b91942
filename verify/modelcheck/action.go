package modelcheck

import (
	"fmt"
	"strconv"
	"strings"
)

// Verb is the kind of an action.
type Verb string

// The actions that the explorer chooses between.
const (
	// Deliver delivers a message, Drop loses it, Hold delays it until Release.
	Deliver Verb = "deliver"
	Drop    Verb = "drop"
	Hold    Verb = "hold"
	Release Verb = "release"
	// Sync completes all outstanding writes of a machine's disk.
	Sync Verb = "sync"
	// Tick advances the clock by one step, Wait by several, while every message is delivered and every write synced.
	Tick Verb = "tick"
	Wait Verb = "wait"
	// Send sends an operator's request.
	Send Verb = "send"
	// Kill ends a process, Crash powers a machine off, Wipe also replaces its disk by a blank one. Start starts the
	// process again.
	Kill  Verb = "kill"
	Crash Verb = "crash"
	Wipe  Verb = "wipe"
	Start Verb = "start"
	// Freeze suspends a process; Wake resumes it.
	Freeze Verb = "freeze"
	Wake   Verb = "wake"
	// Cut isolates a group of machines from all others, or cuts one link; Heal ends all cuts.
	Cut  Verb = "cut"
	Heal Verb = "heal"
	// Leave orders the decommissioning of a machine; Stop, possible once it is decommissioned, ends its process and
	// removes its disk.
	Leave Verb = "leave"
	Stop  Verb = "stop"
	// Blackout powers all machines off at once and replaces one disk by a blank one; the fleet must recover. It ends a
	// run.
	Blackout Verb = "blackout"
)

// Action is one step of the explorer. Subject names what the verb acts on; Message is the digest of the message, for
// verbs that act on one.
type Action struct {
	Verb    Verb
	Subject string
	Message uint64
}

// String formats an action as ParseAction reads it.
func (action Action) String() string {
	text := string(action.Verb)
	if action.Subject != "" {
		text += " " + action.Subject
	}
	if action.Message != 0 {
		text += fmt.Sprintf(" %016x", action.Message)
	}
	return text
}

// messageVerbs are the verbs that act on a message.
var messageVerbs = map[Verb]bool{Deliver: true, Drop: true, Hold: true, Release: true}

// ParseAction parses the format of Action.String.
func ParseAction(text string) (Action, error) {
	words := strings.Fields(text)
	if len(words) == 0 || len(words) > 3 {
		return Action{}, fmt.Errorf("%q is no action", text)
	}
	action := Action{Verb: Verb(words[0])}
	if len(words) > 1 {
		action.Subject = words[1]
	}
	if len(words) == 3 {
		message, err := strconv.ParseUint(words[2], 16, 64)
		if err != nil || !messageVerbs[action.Verb] {
			return Action{}, fmt.Errorf("%q is no action", text)
		}
		action.Message = message
	}
	return action, nil
}
