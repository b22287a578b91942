package loadtest

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	// latestHangUp is how long after sending its request a client that leaves does so at the latest.
	latestHangUp = time.Second
	// leastRate is the lowest rate of a load, in requests a second.
	leastRate = 0.1
)

// clientSource draws clients from a seed. It may be used by several goroutines.
type clientSource struct {
	mix    Mix
	zones  []string
	prefix string

	mutex  sync.Mutex
	random *rand.Rand
	drawn  int
}

// drawnClient is a client and its one request.
type drawnClient struct {
	request Drawn
	zone    string
	// hangsUpAfter is how long after sending the request the client leaves; 0: it stays.
	hangsUpAfter time.Duration
}

func newClientSource(mix Mix, zones []string, seed int64) *clientSource {
	return &clientSource{
		mix:    mix,
		zones:  zones,
		prefix: fmt.Sprintf("q%d", seed),
		random: rand.New(rand.NewSource(seed)),
	}
}

// gap draws the time to the next request at a rate of requests a second.
func (source *clientSource) gap(rate float64) time.Duration {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return time.Duration(source.random.ExpFloat64() / max(leastRate, rate) * float64(time.Second))
}

// next draws a client: hot is the part of the requests that carry one opening, hangUps that of the clients that leave.
func (source *clientSource) next(hot, hangUps float64) drawnClient {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.drawn++
	client := drawnClient{zone: source.zones[source.random.Intn(len(source.zones))]}
	client.request = source.mix.Draw(source.random, hot)
	client.request.ID = fmt.Sprintf("%s-%d", source.prefix, source.drawn)
	if hangUps > 0 && source.random.Float64() < hangUps {
		client.hangsUpAfter = 1 + time.Duration(source.random.Int63n(int64(latestHangUp)))
	}
	return client
}
