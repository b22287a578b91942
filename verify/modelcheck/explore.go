package modelcheck

import (
	"container/heap"
	"fmt"
	"math/rand"
)

// Options bound a search.
type Options struct {
	// States is the number of distinct states after which the search ends, Depth the maximum number of actions of one
	// run. Seed seeds the random choices.
	States int
	Depth  int
	Seed   int64
}

// Result holds the statistics of a search and the violation that it found, if any.
type Result struct {
	// States counts the distinct states, Transitions the actions taken between them, Revisited the actions that led to a
	// state seen before, and Runs the restarts of the search from the initial state.
	States, Transitions, Revisited, Runs int
	// Deepest is the greatest depth of a state in actions, Complete the depth up to which every order was tried.
	Deepest, Complete int
	// Exhausted reports that every state within the maximum depth has been seen.
	Exhausted bool
	// Acknowledged counts the states in which a change was acknowledged, Finished those after a blackout.
	Acknowledged, Finished int
	// Violation describes the property that did not hold, and Trace the actions that lead there.
	Violation string
	Trace     []Action
}

// String returns the statistics in one line.
func (result Result) String() string {
	return fmt.Sprintf(
		"%d states, %d transitions, %d to states seen before, %d runs, deepest %d, every order up to %d actions, "+
			"exhausted %v; %d states with a change acknowledged, %d recoveries",
		result.States,
		result.Transitions,
		result.Revisited,
		result.Runs,
		result.Deepest,
		result.Complete,
		result.Exhausted,
		result.Acknowledged,
		result.Finished,
	)
}

// stateNode is one state that was seen: the shortest known path to it, and the actions not yet tried from it.
type stateNode struct {
	parent  int
	action  Action
	depth   int
	untried []Action
	edges   []edge
}

type edge struct {
	action Action
	to     int
}

// explorer searches the states of one scenario. The machines can't be copied, so a state is represented by the actions
// that lead to it, and returning to one means replaying them from the initial state. Each run begins at the shallowest
// state that has untried actions and takes untried actions at random while there are any. So the search is complete up
// to some depth, and samples states far beyond it.
type explorer struct {
	prepared *prepared
	options  Options
	random   *rand.Rand
	nodes    []stateNode
	seen     map[uint64]int
	frontier frontier
	result   Result
}

// Explore searches the states of a scenario up to the bounds.
func Explore(scenario Scenario, options Options) (Result, error) {
	prepared, err := prepare(&scenario)
	if err != nil {
		return Result{}, err
	}
	explorer := &explorer{
		prepared: prepared,
		options:  options,
		random:   rand.New(rand.NewSource(options.Seed)),
		seen:     map[uint64]int{},
	}
	if err := explorer.search(); err != nil {
		return explorer.result, err
	}
	return explorer.result, nil
}

func (explorer *explorer) search() error {
	world := explorer.prepared.start()
	explorer.result.Runs++
	explorer.visit(world, -1, Action{})
	for explorer.result.Violation == "" && len(explorer.nodes) < explorer.options.States {
		from := explorer.shallowestUntried()
		if from < 0 {
			explorer.result.Exhausted = true
			break
		}
		world, err := explorer.replayTo(from)
		if err != nil {
			return err
		}
		if err := explorer.extend(world, from); err != nil {
			return err
		}
	}
	explorer.summarize()
	if explorer.result.Violation != "" {
		explorer.result.Trace, explorer.result.Violation = minimize(explorer.prepared, explorer.result.Trace,
			explorer.result.Violation)
	}
	return nil
}

// shallowestUntried returns the shallowest state that has untried actions, or -1.
func (explorer *explorer) shallowestUntried() int {
	for len(explorer.frontier) > 0 {
		first := explorer.frontier[0]
		state := &explorer.nodes[first.state]
		if len(state.untried) > 0 && state.depth == first.depth && state.depth < explorer.options.Depth {
			return first.state
		}
		heap.Pop(&explorer.frontier)
	}
	return -1
}

// replayTo returns a new world in a state that was seen before, by replaying its trace.
func (explorer *explorer) replayTo(state int) (*world, error) {
	explorer.result.Runs++
	world := explorer.prepared.start()
	for _, action := range explorer.trace(state) {
		if err := world.apply(action); err != nil {
			return nil, fmt.Errorf("the fingerprint omits state, or a run is not deterministic: %w", err)
		}
	}
	if found, known := explorer.seen[world.fingerprint()]; !known || found != state {
		return nil, fmt.Errorf(
			"the fingerprint omits state, or a run is not deterministic: replay did not reach state %d",
			state,
		)
	}
	return world, nil
}

// trace returns the actions that lead to a state.
func (explorer *explorer) trace(state int) []Action {
	var trace []Action
	for ; explorer.nodes[state].parent >= 0; state = explorer.nodes[state].parent {
		trace = append([]Action{explorer.nodes[state].action}, trace...)
	}
	return trace
}

// extend takes untried actions, beginning at a state, while there are any.
func (explorer *explorer) extend(world *world, state int) error {
	for explorer.result.Violation == "" && len(explorer.nodes) < explorer.options.States {
		untried := explorer.nodes[state].untried
		if len(untried) == 0 || explorer.nodes[state].depth >= explorer.options.Depth {
			return nil
		}
		index := explorer.choose(untried)
		action := untried[index]
		untried[index] = untried[len(untried)-1]
		explorer.nodes[state].untried = untried[:len(untried)-1]
		if err := world.apply(action); err != nil {
			return err
		}
		explorer.result.Transitions++
		state = explorer.visit(world, state, action)
	}
	return nil
}

// blackoutRedraws is the number of times that the random choice of an action is repeated if it is a blackout, so that
// fewer runs end early: a blackout ends its run.
const blackoutRedraws = 3

func (explorer *explorer) choose(untried []Action) int {
	index := explorer.random.Intn(len(untried))
	for range blackoutRedraws {
		if untried[index].Verb == Blackout {
			index = explorer.random.Intn(len(untried))
		}
	}
	return index
}

// visit records the state that an action led to, and returns its number.
func (explorer *explorer) visit(world *world, from int, action Action) int {
	depth := 0
	if from >= 0 {
		depth = explorer.nodes[from].depth + 1
	}
	hash := world.fingerprint()
	state, known := explorer.seen[hash]
	if known {
		explorer.result.Revisited++
	} else {
		state = len(explorer.nodes)
		explorer.seen[hash] = state
		seen := stateNode{parent: from, action: action, depth: depth, untried: world.actions()}
		explorer.nodes = append(explorer.nodes, seen)
		heap.Push(&explorer.frontier, frontierEntry{depth: depth, state: state})
		explorer.countState(world)
	}
	if from >= 0 {
		explorer.nodes[from].edges = append(explorer.nodes[from].edges, edge{action: action, to: state})
		explorer.relaxDepths(from, edge{action: action, to: state})
	}
	if world.checker.violation != "" && explorer.result.Violation == "" {
		explorer.result.Violation = world.checker.violation
		explorer.result.Trace = append(explorer.trace(from), action)
	}
	return state
}

func (explorer *explorer) countState(world *world) {
	if len(world.checker.accepted) > 0 {
		explorer.result.Acknowledged++
	}
	if world.finished {
		explorer.result.Finished++
	}
}

// relaxDepths records a shorter path to a state and, through it, to the states reached from there.
func (explorer *explorer) relaxDepths(from int, first edge) {
	type pendingEdge struct {
		from int
		edge edge
	}
	for pending := []pendingEdge{{from, first}}; len(pending) > 0; {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		depth, state := explorer.nodes[last.from].depth+1, &explorer.nodes[last.edge.to]
		if depth >= state.depth {
			continue
		}
		state.depth, state.parent, state.action = depth, last.from, last.edge.action
		heap.Push(&explorer.frontier, frontierEntry{depth: depth, state: last.edge.to})
		for _, further := range state.edges {
			pending = append(pending, pendingEdge{last.edge.to, further})
		}
	}
}

// summarize computes the statistics that follow from the states seen.
func (explorer *explorer) summarize() {
	result := &explorer.result
	result.States, result.Complete = len(explorer.nodes), explorer.options.Depth
	for _, state := range explorer.nodes {
		result.Deepest = max(result.Deepest, state.depth)
		if len(state.untried) > 0 {
			result.Complete = min(result.Complete, state.depth)
		}
	}
}

// frontier is a heap of states that may have untried actions, ordered by depth, then by the order of discovery.
type frontier []frontierEntry

type frontierEntry struct{ depth, state int }

func (frontier frontier) Len() int { return len(frontier) }
func (frontier frontier) Less(left, right int) bool {
	if frontier[left].depth != frontier[right].depth {
		return frontier[left].depth < frontier[right].depth
	}
	return frontier[left].state < frontier[right].state
}
func (frontier frontier) Swap(left, right int) {
	frontier[left], frontier[right] = frontier[right], frontier[left]
}

// Push implements heap.Interface.
func (frontier *frontier) Push(added any) {
	entry, isEntry := added.(frontierEntry)
	if !isEntry {
		panic(fmt.Sprintf("pushed a %T, want a frontierEntry", added))
	}
	*frontier = append(*frontier, entry)
}

// Pop implements heap.Interface: it removes the last element.
func (frontier *frontier) Pop() any {
	last := (*frontier)[len(*frontier)-1]
	*frontier = (*frontier)[:len(*frontier)-1]
	return last
}
