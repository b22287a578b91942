package loadtest

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"
)

const (
	// maximumDisconnectDelay bounds the time between a client's request and its disconnection.
	maximumDisconnectDelay = time.Second
	// maximumRetryDelay bounds the time between a request's first attempt and its retries.
	maximumRetryDelay = 4 * time.Second
	// maximumRetries bounds the number of retries of a request.
	maximumRetries = 2
	// minimumRate is the lowest rate of a load, in requests per second.
	minimumRate = 0.1
)

// clientSource generates random clients from a seed. It is safe for concurrent use.
type clientSource struct {
	mix   Mix
	zones []string
	// idPrefix begins the ID of each request.
	idPrefix string

	mutex  sync.Mutex
	random *rand.Rand
	drawn  int
}

// drawnClient is a client and its one request.
type drawnClient struct {
	request Drawn
	zone    string
	// disconnectDelay is the time between sending the request and closing its connection; 0: the client waits for the
	// end of the response.
	disconnectDelay time.Duration
	// retries are the client's later attempts of the same request, in order.
	retries []scheduledRetry
}

// scheduledRetry is a retry of a request, sent to any daemon of a zone.
type scheduledRetry struct {
	// after is the delay from the first attempt.
	after time.Duration
	zone  string
}

// withRetry returns the client with the zone and the attempt number of a retry; the first attempt has number 1.
func (client drawnClient) withRetry(number int, retry scheduledRetry) drawnClient {
	client.zone, client.request.Attempt = retry.zone, number
	return client
}

// behavior configures the prefixes, disconnections and retries of clients. Its fields are fractions from 0 to 1.
type behavior struct {
	// hotShare is the share of the requests whose prompts have the same prefix, disconnectShare the share of the clients
	// that disconnect early, retryShare the share of the clients that retry an at-most-once request.
	hotShare, disconnectShare, retryShare float64
}

func newClientSource(mix Mix, zones []string, seed int64) *clientSource {
	return &clientSource{
		mix:      mix,
		zones:    zones,
		idPrefix: fmt.Sprintf("q%d", seed),
		random:   rand.New(rand.NewSource(seed)),
	}
}

// gap draws the time to the next request, at a rate in requests per second.
func (source *clientSource) gap(rate float64) time.Duration {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return time.Duration(source.random.ExpFloat64() / max(minimumRate, rate) * float64(time.Second))
}

// next draws a client.
func (source *clientSource) next(behavior behavior) drawnClient {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.drawn++
	client := drawnClient{zone: source.zones[source.random.Intn(len(source.zones))]}
	client.request = source.mix.Draw(source.random, behavior.hotShare)
	client.request.ID, client.request.Attempt = fmt.Sprintf("%s-%d", source.idPrefix, source.drawn), 1
	if behavior.disconnectShare > 0 && source.random.Float64() < behavior.disconnectShare {
		client.disconnectDelay = 1 + time.Duration(source.random.Int63n(int64(maximumDisconnectDelay)))
	}
	if behavior.retryShare > 0 && client.request.Kind.AtMostOnce && source.random.Float64() < behavior.retryShare {
		client.retries = source.drawRetries()
	}
	return client
}

// drawRetries draws the delays and the zones of a client's retries.
func (source *clientSource) drawRetries() []scheduledRetry {
	retries := make([]scheduledRetry, 1+source.random.Intn(maximumRetries))
	for index := range retries {
		retries[index] = scheduledRetry{
			after: time.Duration(source.random.Int63n(int64(maximumRetryDelay))),
			zone:  source.zones[source.random.Intn(len(source.zones))],
		}
	}
	// Attempt numbers follow the order of the attempts.
	slices.SortFunc(retries, func(left, right scheduledRetry) int { return cmp.Compare(left.after, right.after) })
	return retries
}
