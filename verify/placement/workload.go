package placement

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
)

const (
	// answerTokenCost is how many prompt tokens an answer token weighs in the size of a request.
	answerTokenCost = 10
	// sizeSamples is how many sizes are drawn to find a route's mean and its largest tenth.
	sizeSamples = 2000
	// hotItem is the item that all hot requests share.
	hotItem = 7
	// noRoute stands for a hot route where there is none.
	noRoute = ""
)

// workload draws the requests of a deployment's routes. Prompts share parts: each has one of each of its route's shared
// parts, and an own part behind them.
type workload struct {
	random *rand.Rand
	routes []RouteWork
	stride int
	// rate is that of all routes together, requests a second.
	rate   float64
	shapes map[string]*routeShape
}

// routeShape is what was drawn or reckoned once for a route.
type routeShape struct {
	// partTokens are the sizes of the items of each shared part.
	partTokens [][]int
	// popularity is the cumulative popularity of the last shared part's items.
	popularity []float64
	// meanSize is the mean size of requests, largeSize that beyond which the largest tenth lies.
	meanSize, largeSize float64
}

// drawnRequest is one request of a workload.
type drawnRequest struct {
	route RouteWork
	// prompt are the parts, the own one last; sharedTokens are the tokens of the others.
	prompt       prompt
	promptTokens int
	sharedTokens int
	answerTokens int
	// value is for an answer within the latency target, late for a later one.
	value, late float64
	// large means that the request is of its route's largest tenth.
	large bool
}

// newWorkload draws the shared parts of a deployment's routes.
func newWorkload(deployment Deployment, random *rand.Rand) *workload {
	made := &workload{
		random: random,
		routes: deployment.Routes,
		stride: deployment.Engine.Stride,
		shapes: map[string]*routeShape{},
	}
	for _, route := range deployment.Routes {
		made.rate += route.Rate
		made.shapes[route.Name] = made.drawShape(route)
	}
	return made
}

func (workload *workload) drawShape(route RouteWork) *routeShape {
	shape := &routeShape{}
	sharedMean := 0.0
	for _, shared := range route.Chain {
		tokens := make([]int, shared.Items)
		for item := range tokens {
			tokens[item] = shared.Tokens.draw(workload.random)
		}
		shape.partTokens = append(shape.partTokens, tokens)
		sharedMean += shared.Tokens.Mean
	}
	shape.popularity = cumulativePopularity(route.Chain[len(route.Chain)-1])
	sizes, total := make([]float64, 0, sizeSamples), 0.0
	for range sizeSamples {
		own := route.Prompt.draw(workload.random)
		size := requestSize(own, route.Events.draw(workload.random)*workload.stride)
		sizes = append(sizes, size)
		total += size
	}
	sort.Float64s(sizes)
	shape.meanSize = total/sizeSamples + sharedMean
	shape.largeSize = sizes[sizeSamples*9/10] + sharedMean
	return shape
}

// cumulativePopularity returns for each item the popularity of it and all before it.
func cumulativePopularity(shared Shared) []float64 {
	popularity, sum := make([]float64, shared.Items), 0.0
	for item := range popularity {
		sum += math.Pow(float64(item+1), -shared.Skew)
		popularity[item] = sum
	}
	return popularity
}

// requestSize weighs a request's tokens.
func requestSize(promptTokens, answerTokens int) float64 {
	return float64(promptTokens) + answerTokenCost*float64(answerTokens)
}

// draw draws a request; hot is the part (0 to 1) of hotRoute's requests that carry the hot item (noRoute: none do).
func (workload *workload) draw(hotRoute string, hot float64) drawnRequest {
	route := workload.drawRoute()
	shape := workload.shapes[route.Name]
	item := shape.drawItem(workload.random)
	if route.Name == hotRoute && workload.random.Float64() < hot {
		item = hotItem
	}
	drawn := drawnRequest{route: route, prompt: shape.sharedParts(route.Name, item)}
	for _, tokens := range drawn.prompt.tokens {
		drawn.sharedTokens += tokens
	}
	own := route.Prompt.draw(workload.random)
	drawn.answerTokens = route.Events.draw(workload.random) * workload.stride
	drawn.prompt.parts = append(drawn.prompt.parts, fmt.Sprint("own", workload.random.Int63()))
	drawn.prompt.tokens = append(drawn.prompt.tokens, own)
	drawn.promptTokens = drawn.sharedTokens + own
	size := requestSize(drawn.promptTokens, drawn.answerTokens)
	// Larger requests are worth more, within bounds.
	weight := min(4, 0.3+0.7*size/shape.meanSize)
	drawn.value, drawn.late = route.Value*weight, route.Late*weight
	drawn.large = size > shape.largeSize
	return drawn
}

// drawRoute takes a route by the routes' rates.
func (workload *workload) drawRoute() RouteWork {
	point := workload.random.Float64() * workload.rate
	for _, route := range workload.routes {
		if point -= route.Rate; point < 0 {
			return route
		}
	}
	return workload.routes[len(workload.routes)-1]
}

// drawItem takes an item by popularity.
func (shape *routeShape) drawItem(random *rand.Rand) int {
	all := shape.popularity[len(shape.popularity)-1]
	return sort.SearchFloat64s(shape.popularity, random.Float64()*all)
}

// sharedParts returns the shared parts of a route's prompts about an item.
func (shape *routeShape) sharedParts(route string, item int) prompt {
	made := prompt{
		parts:  make([]string, 0, len(shape.partTokens)+1),
		tokens: make([]int, 0, len(shape.partTokens)+1),
	}
	for part, sizes := range shape.partTokens {
		here := item % len(sizes)
		made.parts = append(made.parts, fmt.Sprint(route, part, "-", here))
		made.tokens = append(made.tokens, sizes[here])
	}
	return made
}
