package modelcheck

// Groups of message kinds.
var (
	operatorKinds = []string{"OperatorRequest", "OperatorResponse"}
	chainKinds    = []string{"ChainForward", "ChainAck"}
	viewKinds     = []string{"ViewPrepare", "ViewPromise", "ViewAccept", "ViewAccepted", "ViewRejected", "ViewUpdate"}
	leaseKinds    = []string{"LeaderLeaseRequest", "LeaderLeaseGrant"}
	learnKinds    = []string{"LearnRequest", "LearnResponse"}
	daemonKinds   = []string{"DaemonLeaseRequest", "DaemonLeaseGrant", "DaemonLeasePrompt"}
)

func kinds(groups ...[]string) []string {
	var all []string
	for _, group := range groups {
		all = append(all, group...)
	}
	return all
}

// Requests that several scenarios share.
var (
	leftFirst   = Request{Verb: "apply", Operation: "left", Base: 1, Via: "core2", After: -1}
	rightFirst  = Request{Verb: "apply", Operation: "right", Base: 1, Via: "core3", After: -1}
	leftAgain   = Request{Verb: "apply", Operation: "left", Base: 1, Via: "core3", After: 0}
	leftAtFirst = Request{Verb: "apply", Operation: "left", Base: 1, Via: "core1", After: -1}
	readAtFirst = Request{Verb: "get", Via: "core1", After: 0}
	readAtThird = Request{Verb: "get", Via: "core3", After: 0}
)

// Scenarios lists all searches, in the order in which they are run.
var Scenarios = []Scenario{
	{
		Name: "race",
		Help: "two changes on one base through two machines, with lost and delayed messages and a " +
			"head that is killed",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 2,
		Requests: []Request{leftFirst, rightFirst, leftAgain},
		ExploredKinds: kinds(
			operatorKinds,
			chainKinds,
		), Budget: map[Verb]int{Drop: 1, Hold: 1, Kill: 1, Wait: 3}, Leaders: true, Depth: 40, States: 8000,
	},
	{
		Name: "lost-answer",
		Help: "a change whose response is lost with the head, sent again through another machine, " +
			"with every write synced at any moment",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 2,
		Requests: []Request{leftFirst, leftAgain, readAtThird},
		ExploredKinds: kinds(operatorKinds,
			chainKinds), Disks: true, Budget: map[Verb]int{Drop: 1, Kill: 1, Crash: 1, Wait: 4}, Leaders: true,
		Depth: 45, States: 8000,
	},
	{
		Name:         "cut-leader",
		Help:         "the leader is cut off, alone or with daemons, while changes and reads are sent on both sides",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 2,
		Requests:      []Request{leftAtFirst, rightFirst, readAtFirst, readAtThird},
		ExploredKinds: kinds(operatorKinds, viewKinds), Budget: map[Verb]int{Cut: 2, Wait: 4, Hold: 1},
		Cuts: [][]string{
			{"core1"},
			{"core1", "daemon1"},
			{"core1", "daemon1", "daemon2"},
			{"core3"},
		}, Depth: 50, States: 8000,
	},
	{
		Name:         "lease",
		Help:         "the head's lease with delayed grants, a frozen head, a cut and the vote on the next view",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 1,
		Requests:      []Request{leftFirst, readAtFirst},
		ExploredKinds: kinds(leaseKinds, viewKinds), Budget: map[Verb]int{Cut: 1, Freeze: 1, Hold: 2, Wait: 3},
		Cuts: [][]string{{"core1"}, {"core2"}}, Targets: []string{"core1"}, Leaders: true, Depth: 50, States: 8000,
	},
	{
		Name:         "wipe",
		Help:         "a disk is lost during or after an acknowledgement, and another one while the view changes",
		ControlNodes: 4, Founders: 3, Members: 4, Daemons: 1,
		Requests: []Request{leftFirst},
		ExploredKinds: kinds(chainKinds,
			viewKinds), Disks: true, Budget: map[Verb]int{Wipe: 1, Crash: 1, Wait: 4, Blackout: 1},
		Targets: []string{"core1", "core2", "core4"}, Depth: 45, States: 7000,
	},
	{
		Name:         "leave-join",
		Help:         "a member is decommissioned while another joins and a change is made",
		ControlNodes: 5, Founders: 3, Members: 4, Daemons: 1,
		Requests:      []Request{leftFirst},
		ExploredKinds: kinds(viewKinds, learnKinds), Budget: map[Verb]int{Leave: 1, Start: 1, Wait: 5, Drop: 1},
		Targets: []string{"core1", "core2", "core4"}, Depth: 45, States: 6000,
	},
	{
		Name: "leave-loss",
		Help: "a member is decommissioned while another joins and a change is made; then all lose " +
			"power and one loses its disk",
		ControlNodes: 5, Founders: 3, Members: 4, Daemons: 1,
		Requests:      []Request{leftFirst},
		ExploredKinds: kinds(viewKinds, learnKinds), Budget: map[Verb]int{Leave: 1, Start: 1, Wait: 5, Blackout: 1},
		Targets: []string{"core1", "core2", "core4"}, Depth: 45, States: 4000,
	},
	{
		Name:         "leave-leader",
		Help:         "the leader is decommissioned and meanwhile cut off, alone or with another, during a read",
		ControlNodes: 4, Founders: 3, Members: 4, Daemons: 1,
		Requests:      []Request{leftFirst, readAtFirst},
		ExploredKinds: viewKinds, Budget: map[Verb]int{Leave: 1, Cut: 1, Drop: 4, Wait: 2},
		Cuts: [][]string{
			{"core1"},
			{"core1", "core2"},
			{"core1", "core3"},
		}, Targets: []string{"core1"}, Depth: 40, States: 8000,
	},
	{
		Name: "restart",
		Help: "a member that was off during many changes restarts while others are killed or crash " +
			"and a change is made",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 1, Absent: "core3", PriorChanges: 8,
		Requests: []Request{
			{Verb: "apply", Operation: "left", Base: 9, Via: "core2", After: -1},
			{Verb: "get", Via: "core3", After: 0},
		},
		ExploredKinds: kinds(learnKinds, chainKinds,
			viewKinds), Disks: true, Budget: map[Verb]int{Kill: 1, Crash: 1, Wait: 5, Hold: 1},
		Targets: []string{"core1", "core2"}, Depth: 45, States: 7000,
	},
	{
		Name: "restart-loss",
		Help: "a member that was off during many changes restarts while others are killed or crash " +
			"and a change is made; then all lose power and one loses its disk",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 1, Absent: "core3", PriorChanges: 8,
		Requests: []Request{
			{Verb: "apply", Operation: "left", Base: 9, Via: "core2", After: -1},
			{Verb: "get", Via: "core3", After: 0},
		},
		ExploredKinds: kinds(learnKinds, chainKinds,
			viewKinds), Disks: true, Budget: map[Verb]int{Kill: 1, Crash: 1, Wait: 5, Blackout: 1},
		Targets: []string{"core1", "core2"}, Depth: 45, States: 4000,
	},
	{
		Name:         "daemons",
		Help:         "the epochs under which daemons assign work, with daemons cut off, frozen and killed",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 2,
		Requests:      []Request{leftAtFirst, {Verb: "apply", Operation: "next", Base: 2, Via: "core2", After: 0}},
		ExploredKinds: daemonKinds, Budget: map[Verb]int{Cut: 2, Freeze: 1, Kill: 1, Hold: 1, Wait: 3},
		Cuts: [][]string{
			{"daemon1"},
			{"daemon1", "core1"},
			{"daemon2", "core3"},
			{"core1"},
		}, Targets: []string{"daemon1", "daemon2", "core1"}, Depth: 45, States: 8000,
	},
	{
		Name: "keepers",
		Help: "daemons that the head no longer reaches renew their leases through acceptors, with " +
			"delayed messages, restarting acceptors and changes",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 2,
		Requests: []Request{leftAtFirst},
		ExploredKinds: []string{
			"GossipMessage",
			"DaemonLeaseGrant",
			"LeaderLeaseGrant",
		}, Budget: map[Verb]int{Cut: 2, Crash: 1, Freeze: 1, Hold: 2, Wait: 4},
		Cuts: [][]string{{"daemon1", "core3"}, {"daemon1", "core2", "core3"}},
		Links: [][2]string{
			{"core1", "daemon1"},
			{"core1", "core3"},
		}, Targets: []string{"core2", "core3", "daemon1"}, Depth: 60, States: 8000,
	},
	{
		Name: "keeper-back",
		Help: "an acceptor that was off and is not in the chain yet restarts, and sends to a " +
			"daemon that the head no longer reaches",
		ControlNodes: 3, Founders: 3, Members: 3, Daemons: 1, Absent: "core3", PriorChanges: 1,
		Requests: []Request{{Verb: "apply", Operation: "left", Base: 2, Via: "core1", After: -1}},
		ExploredKinds: []string{
			"DaemonLeaseRequest",
			"DaemonLeaseGrant",
			"LeaderLeaseRequest",
			"LeaderLeaseGrant",
			"LearnResponse",
		}, Budget: map[Verb]int{Cut: 2, Crash: 2, Hold: 2, Drop: 1, Wait: 3},
		Cuts: [][]string{
			{"daemon1", "core3"},
		}, Links: [][2]string{{"core1", "daemon1"}}, Targets: []string{"core2", "core3"}, Depth: 60, States: 8000,
	},
}

// Find returns a scenario by its name.
func Find(name string) (Scenario, bool) {
	for _, scenario := range Scenarios {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}

// Names returns the names of all scenarios.
func Names() []string {
	names := make([]string, 0, len(Scenarios))
	for _, scenario := range Scenarios {
		names = append(names, scenario.Name)
	}
	return names
}
