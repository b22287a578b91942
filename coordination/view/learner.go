package view

import (
	"time"

	"wardtray/wire"
)

// Learn persists a chosen view that is newer than the newest known one, and adopts the view once it is synced.
func (agent *Agent) Learn(now time.Time, view *wire.View) {
	if view == nil || view.Epoch <= agent.newest.Epoch {
		return
	}
	// A member of one fleet must never join another.
	if agent.current.Epoch > 0 && view.Fleet != agent.current.Fleet {
		return
	}
	agent.newest = view
	agent.outbox.Persist(now, &wire.Record{Body: &wire.Record_View{View: view}}, func(syncedAt time.Time) {
		agent.adopt(syncedAt, view)
	})
}

// adopt makes a synced view the current one, and sends it to all chain members and acceptors of it and of the previous
// view.
func (agent *Agent) adopt(now time.Time, view *wire.View) {
	if view.Epoch <= agent.current.Epoch {
		return
	}
	previous := agent.current
	agent.current, agent.learnedAt, agent.attempt, agent.timeout = view, now, nil, 0
	agent.vote = &wire.AcceptorState{Instance: view.Epoch + 1}
	notified := map[string]bool{agent.self: true}
	for _, group := range [][]*wire.Member{previous.Chain, previous.Acceptors, view.Chain, view.Acceptors} {
		for _, member := range group {
			if !notified[member.Id] {
				notified[member.Id] = true
				agent.SendView(agent.addressOf(member))
			}
		}
	}
	agent.onLearned(now, view)
}

// SendView sends the current view to an address, if there is one.
func (agent *Agent) SendView(address string) {
	if agent.current.Epoch > 0 {
		agent.outbox.Send(address, viewUpdate(agent.current))
	}
}

func viewUpdate(view *wire.View) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ViewUpdate{ViewUpdate: &wire.ViewUpdate{View: view}}}
}
