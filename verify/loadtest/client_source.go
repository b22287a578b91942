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
	// latestHangUp is how long after sending its request a client that leaves does so at the latest.
	latestHangUp = time.Second
	// latestResend is how long after its first sending a client sends a request again at the latest, mostResends how often
	// at most.
	latestResend = 4 * time.Second
	mostResends  = 2
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
	// resends are its further sendings of the same request.
	resends []resend
}

// resend is one more sending of a request, to any daemon of a zone, so long after the first.
type resend struct {
	after time.Duration
	zone  string
}

// again returns the client as it sends its request the next time: number counts the sendings from 1.
func (client drawnClient) again(number int, resend resend) drawnClient {
	client.zone, client.request.Attempt = resend.zone, number
	return client
}

// behavior is what clients do besides sending their requests.
type behavior struct {
	// hot is the part (0 to 1) of the requests that carry one opening, hangUps that of the clients that leave, resends
	// that of the clients that send a request again which runs at most once.
	hot, hangUps, resends float64
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

// next draws a client.
func (source *clientSource) next(behavior behavior) drawnClient {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.drawn++
	client := drawnClient{zone: source.zones[source.random.Intn(len(source.zones))]}
	client.request = source.mix.Draw(source.random, behavior.hot)
	client.request.ID, client.request.Attempt = fmt.Sprintf("%s-%d", source.prefix, source.drawn), 1
	if behavior.hangUps > 0 && source.random.Float64() < behavior.hangUps {
		client.hangsUpAfter = 1 + time.Duration(source.random.Int63n(int64(latestHangUp)))
	}
	if behavior.resends > 0 && client.request.Kind.Once && source.random.Float64() < behavior.resends {
		client.resends = source.drawResends()
	}
	return client
}

// drawResends draws when and where a client sends its request again.
func (source *clientSource) drawResends() []resend {
	resends := make([]resend, 1+source.random.Intn(mostResends))
	for index := range resends {
		resends[index] = resend{
			after: time.Duration(source.random.Int63n(int64(latestResend))),
			zone:  source.zones[source.random.Intn(len(source.zones))],
		}
	}
	// A client numbers its sendings in their order.
	slices.SortFunc(resends, func(left, right resend) int { return cmp.Compare(left.after, right.after) })
	return resends
}
