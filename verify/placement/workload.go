package placement

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
)

const (
	// answerTokenWeight is the weight of an answer token in the size of a request, relative to a prompt token.
	answerTokenWeight = 10
	// sizeSamples is the number of samples that estimate the mean and the 90th percentile of a route's request sizes.
	sizeSamples = 2000
	// hotItem is the item of the last shared part of all hot requests.
	hotItem = 7
	// noRoute is the value of a hot route if there is none.
	noRoute = ""
)

// workload generates the requests of a deployment's routes. A prompt consists of one item of each of its route's shared
// parts, followed by a unique part.
type workload struct {
	random *rand.Rand
	routes []RouteWorkload
	stride int
	// rate is the rate of all routes together, in requests per second.
	rate       float64
	parameters map[string]*routeParameters
}

// routeParameters holds the precomputed parameters of a route's requests.
type routeParameters struct {
	// partTokens holds the numbers of tokens of the items of each shared part.
	partTokens [][]int
	// popularity is the cumulative popularity of the last shared part's items.
	popularity []float64
	// meanSize is the mean of the request sizes, largeSize their 90th percentile.
	meanSize, largeSize float64
}

// drawnRequest is a generated request of a workload.
type drawnRequest struct {
	route RouteWorkload
	// prompt holds the parts of the prompt, the unique part last; sharedTokens is the number of tokens of the others.
	prompt       prompt
	promptTokens int
	sharedTokens int
	answerTokens int
	// value is the value of an answer in time, late the value of a later one.
	value, late float64
	// large reports whether the request is among the largest tenth of its route.
	large bool
}

// newWorkload returns the workload of a deployment; it draws the sizes of the shared parts from random.
func newWorkload(deployment Deployment, random *rand.Rand) *workload {
	created := &workload{
		random:     random,
		routes:     deployment.Routes,
		stride:     deployment.Engine.Stride,
		parameters: map[string]*routeParameters{},
	}
	for _, route := range deployment.Routes {
		created.rate += route.Rate
		created.parameters[route.Name] = created.drawParameters(route)
	}
	return created
}

func (workload *workload) drawParameters(route RouteWorkload) *routeParameters {
	parameters := &routeParameters{}
	sharedMean := 0.0
	for _, shared := range route.SharedParts {
		tokens := make([]int, shared.Items)
		for item := range tokens {
			tokens[item] = shared.Tokens.draw(workload.random)
		}
		parameters.partTokens = append(parameters.partTokens, tokens)
		sharedMean += shared.Tokens.Mean
	}
	parameters.popularity = cumulativePopularity(route.SharedParts[len(route.SharedParts)-1])
	sizes, total := make([]float64, 0, sizeSamples), 0.0
	for range sizeSamples {
		own := route.Prompt.draw(workload.random)
		size := requestSize(own, route.Events.draw(workload.random)*workload.stride)
		sizes = append(sizes, size)
		total += size
	}
	sort.Float64s(sizes)
	parameters.meanSize = total/sizeSamples + sharedMean
	parameters.largeSize = sizes[sizeSamples*9/10] + sharedMean
	return parameters
}

// cumulativePopularity returns, for each item, the sum of the popularities of the items up to and including it.
func cumulativePopularity(shared SharedPart) []float64 {
	popularity, sum := make([]float64, shared.Items), 0.0
	for item := range popularity {
		sum += math.Pow(float64(item+1), -shared.Skew)
		popularity[item] = sum
	}
	return popularity
}

// requestSize returns the size of a request: the weighted sum of its tokens.
func requestSize(promptTokens, answerTokens int) float64 {
	return float64(promptTokens) + answerTokenWeight*float64(answerTokens)
}

// draw returns a random request; hot is the share (0 to 1) of hotRoute's requests that have the hot item. With noRoute,
// there are no hot requests.
func (workload *workload) draw(hotRoute string, hot float64) drawnRequest {
	route := workload.drawRoute()
	parameters := workload.parameters[route.Name]
	item := parameters.drawItem(workload.random)
	if route.Name == hotRoute && workload.random.Float64() < hot {
		item = hotItem
	}
	drawn := drawnRequest{route: route, prompt: parameters.sharedParts(route.Name, item)}
	for _, tokens := range drawn.prompt.tokens {
		drawn.sharedTokens += tokens
	}
	own := route.Prompt.draw(workload.random)
	drawn.answerTokens = route.Events.draw(workload.random) * workload.stride
	drawn.prompt.parts = append(drawn.prompt.parts, fmt.Sprint("own", workload.random.Int63()))
	drawn.prompt.tokens = append(drawn.prompt.tokens, own)
	drawn.promptTokens = drawn.sharedTokens + own
	size := requestSize(drawn.promptTokens, drawn.answerTokens)
	// The value grows with the size, from 0.3 to 4 times the route's value.
	weight := min(4, 0.3+0.7*size/parameters.meanSize)
	drawn.value, drawn.late = route.Value*weight, route.LateValue*weight
	drawn.large = size > parameters.largeSize
	return drawn
}

// drawRoute returns a random route, weighted by rate.
func (workload *workload) drawRoute() RouteWorkload {
	point := workload.random.Float64() * workload.rate
	for _, route := range workload.routes {
		if point -= route.Rate; point < 0 {
			return route
		}
	}
	return workload.routes[len(workload.routes)-1]
}

// drawItem returns a random item, weighted by popularity.
func (parameters *routeParameters) drawItem(random *rand.Rand) int {
	all := parameters.popularity[len(parameters.popularity)-1]
	return sort.SearchFloat64s(parameters.popularity, random.Float64()*all)
}

// sharedParts returns the shared parts of a prompt of a route; item is the item of the last part.
func (parameters *routeParameters) sharedParts(route string, item int) prompt {
	created := prompt{
		parts:  make([]string, 0, len(parameters.partTokens)+1),
		tokens: make([]int, 0, len(parameters.partTokens)+1),
	}
	for part, sizes := range parameters.partTokens {
		partItem := item % len(sizes)
		created.parts = append(created.parts, fmt.Sprint(route, part, "-", partItem))
		created.tokens = append(created.tokens, sizes[partItem])
	}
	return created
}
