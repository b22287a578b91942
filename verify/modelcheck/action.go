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
	// Deliver hands a message over, Drop loses it, Hold keeps it back until Release.
	Deliver Verb = "deliver"
	Drop    Verb = "drop"
	Hold    Verb = "hold"
	Release Verb = "release"
	// Sync completes all writes that a machine's disk was asked for.
	Sync Verb = "sync"
	// Tick lets one step of time pass, Wait several, in which every message is delivered and every write synced.
	Tick Verb = "tick"
	Wait Verb = "wait"
	// Send has an operator send a question.
	Send Verb = "send"
	// Kill ends a process, Crash takes the power from a machine, Wipe its disk as well; Start starts it again.
	Kill  Verb = "kill"
	Crash Verb = "crash"
	Wipe  Verb = "wipe"
	Start Verb = "start"
	// Freeze stops a process without ending it; Wake lets it go on.
	Freeze Verb = "freeze"
	Wake   Verb = "wake"
	// Cut parts a group of machines from all others; Heal ends all cuts.
	Cut  Verb = "cut"
	Heal Verb = "heal"
	// Leave has a machine leave by order; Stop ends its process, and takes its disk, once it may go.
	Leave Verb = "leave"
	Stop  Verb = "stop"
	// Blackout takes the power from all machines at once, and one disk; the others must recover. It ends a run.
	Blackout Verb = "blackout"
)

// Action is one step that the explorer takes. Message is the digest of the message it is about, if it is about one.
type Action struct {
	Verb    Verb
	Subject string
	Message uint64
}

// String writes an action so that ParseAction reads it back.
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

// messageVerbs are the verbs whose actions name a message.
var messageVerbs = map[Verb]bool{Deliver: true, Drop: true, Hold: true, Release: true}

// ParseAction reads what String wrote.
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
