package loadtest

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"time"

	"wardtray/config"
	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

// Kind is one kind of work of a mix.
type Kind struct {
	Route string
	// Share is its part of the requests.
	Share float64
	Once  bool
	// Value, Patience and Concurrency limit are its route's terms.
	Value            float64
	LatencyTarget    time.Duration
	ConcurrencyLimit float64
	// Opening is the number of shared parts, OpeningTokens the tokens of each; Own the tokens of the rest.
	Opening, OpeningTokens, Own, Answer int
	// Families is how many different openings there are.
	Families int
	Text     string
	// Resumable says that its route's streams may go on at another runner, after pauses of at most Pause.
	Resumable bool
	// Cancel says that its route's runs end when their clients leave, also where they run at most once.
	Cancel bool
	Pause  time.Duration
	// Wait is about how long its clients wait at all, where they tell it; Deadline is the longest that its route holds
	// a request.
	Wait, Deadline time.Duration
}

// Mix is the work of one deployment, and the backend that does it.
type Mix struct {
	Model, Pool, Weights, Service string
	Kinds                         []Kind
}

// Guild is the fibre guild's mix: survey summaries lead, chats in Welsh and English and confirmations are close.
var Guild = Mix{Model: "cynorthwyydd", Pool: "booking", Weights: "w-2026-11", Service: "booking-runners", Kinds: []Kind{
	{
		Route:            "survey",
		Share:            0.42,
		Value:            1,
		LatencyTarget:    20 * time.Second,
		ConcurrencyLimit: 0.5,
		Opening:          6,
		OpeningTokens:    500,
		Own:              600,
		Answer:           120,
		Families:         24,
		Text:             "Write up the survey of the duct and its joints.",
	},
	{
		Route:            "chat",
		Share:            0.31,
		Value:            4,
		LatencyTarget:    4 * time.Second,
		ConcurrencyLimit: 0.4,
		Opening:          3,
		OpeningTokens:    400,
		Own:              120,
		Answer:           60,
		Families:         12,
		Text:             "Ble mae'r cabinet agosaf, a sut mae cyrraedd ato? Diolch yn fawr iawn, rŵan te.",
	},
	{
		Route:            "confirm",
		Share:            0.27,
		Once:             true,
		Value:            10,
		LatencyTarget:    3 * time.Second,
		ConcurrencyLimit: 0.4,
		Opening:          2,
		OpeningTokens:    400,
		Own:              80,
		Answer:           30,
		Families:         4,
		Text:             "Confirm the slot on Thursday at ten.",
	},
}}

// Ferries is the ferry company's mix: counter queries and reconciliations lead, rulings come a little behind.
var Ferries = Mix{Model: "tocyn", Pool: "ticketing", Weights: "t-7", Service: "ticket-runners", Kinds: []Kind{
	{
		Route:            "counter",
		Share:            0.40,
		Value:            5,
		LatencyTarget:    4 * time.Second,
		ConcurrencyLimit: 0.4,
		Opening:          3,
		OpeningTokens:    400,
		Own:              100,
		Answer:           50,
		Families:         10,
		Text:             "What does a car and four cost on the evening crossing?",
	},
	{
		Route:            "reconcile",
		Share:            0.33,
		Value:            1,
		LatencyTarget:    20 * time.Second,
		ConcurrencyLimit: 0.5,
		Opening:          6,
		OpeningTokens:    500,
		Own:              800,
		Answer:           110,
		Families:         16,
		Text:             "Reconcile the manifest with the tickets.",
	},
	{
		Route:            "ruling",
		Share:            0.27,
		Once:             true,
		Value:            8,
		LatencyTarget:    4 * time.Second,
		ConcurrencyLimit: 0.4,
		Opening:          4,
		OpeningTokens:    400,
		Own:              200,
		Answer:           40,
		Families:         6,
		Text:             "Rule on the refund of the cancelled crossing.",
	},
}}

// WithResumption is the mix with longer answers, which may be resumed wherever they may be repeated.
func (mix Mix) WithResumption() Mix {
	mix.Kinds = append([]Kind{}, mix.Kinds...)
	for index := range mix.Kinds {
		if kind := &mix.Kinds[index]; !kind.Once {
			kind.Resumable, kind.Pause, kind.Answer = true, 500*time.Millisecond, 300
		}
	}
	return mix
}

// WithDeadlines is the mix whose clients tell how long they wait, and whose routes have a longest time of their own.
func (mix Mix) WithDeadlines() Mix {
	mix.Kinds = append([]Kind{}, mix.Kinds...)
	for index := range mix.Kinds {
		kind := &mix.Kinds[index]
		kind.Wait, kind.Deadline = kind.LatencyTarget/2, kind.LatencyTarget
	}
	return mix
}

// Cancelling is the mix with longer answers, whose runs all end when their clients leave, also those that run at most
// once.
func (mix Mix) Cancelling() Mix {
	mix.Kinds = append([]Kind{}, mix.Kinds...)
	for index := range mix.Kinds {
		mix.Kinds[index].Cancel, mix.Kinds[index].Answer = true, 300
	}
	return mix
}

// Spec is the deployment's, with one more route for each marker.
func (mix Mix) Spec(zones []string, markers ...string) *config.Spec {
	made := &config.Spec{
		Backends: []config.Backend{
			{Name: mix.Pool, Model: mix.Model, Weights: mix.Weights, Services: []string{mix.Service}},
		},
	}
	for _, zone := range zones {
		made.Zones = append(made.Zones, config.Zone{Name: zone})
	}
	for _, kind := range mix.Kinds {
		made.Routes = append(
			made.Routes,
			config.Route{
				Name:               kind.Route,
				Backend:            mix.Pool,
				Value:              kind.Value,
				LatencyTarget:      config.Duration(kind.LatencyTarget),
				ConcurrencyLimit:   kind.ConcurrencyLimit,
				Idempotent:         !kind.Once,
				Resumable:          kind.Resumable,
				CancelOnDisconnect: kind.Cancel,
				Pause:              config.Duration(kind.Pause),
				Deadline:           config.Duration(kind.Deadline),
			},
		)
	}
	for _, marker := range markers {
		made.Routes = append(
			made.Routes,
			config.Route{
				Name:             marker,
				Backend:          mix.Pool,
				Value:            1,
				LatencyTarget:    config.Duration(5 * time.Second),
				ConcurrencyLimit: 0.1,
				Idempotent:       true,
			},
		)
	}
	return made
}

// Drawn is one request drawn from a mix.
type Drawn struct {
	Kind   Kind
	Family int
	ID     string
	// Wait is how long its client waits; 0: not told.
	Wait time.Duration
}

// TimeLimit is how long the request may be held; 0: not told.
func (drawn Drawn) TimeLimit() time.Duration {
	if drawn.Wait > 0 && (drawn.Kind.Deadline == 0 || drawn.Wait < drawn.Kind.Deadline) {
		return drawn.Wait
	}
	return drawn.Kind.Deadline
}

// Draw takes a request from the mix; hot is the part of the requests that carry one opening.
func (mix Mix) Draw(random *rand.Rand, hot float64) Drawn {
	point := random.Float64()
	drawn := Drawn{Kind: mix.Kinds[len(mix.Kinds)-1]}
	for _, candidate := range mix.Kinds {
		if point -= candidate.Share; point < 0 {
			drawn.Kind = candidate
			break
		}
	}
	// Few openings draw most of the work, as a crowd's questions do.
	drawn.Family = min(random.Intn(drawn.Kind.Families), random.Intn(drawn.Kind.Families))
	if random.Float64() < hot {
		drawn.Family = 0
	}
	// Some clients tell nothing, and then the route's own bound holds.
	if kind := drawn.Kind; kind.Wait > 0 && random.Intn(4) > 0 {
		drawn.Wait = (kind.Wait/8 + time.Duration(random.Int63n(int64(2*kind.Wait)))).Round(time.Millisecond)
	}
	return drawn
}

// Parts returns the names and tokens of the prompt's opening.
func (drawn Drawn) Parts() (names []string, tokens []int) {
	for index := range drawn.Kind.Opening {
		name := fmt.Sprintf("%s-%d-%d", drawn.Kind.Route, drawn.Family, index)
		if index == 0 {
			name = drawn.Kind.Route + "-system"
		}
		names, tokens = append(names, name), append(tokens, drawn.Kind.OpeningTokens)
	}
	return names, tokens
}

// PromptTokens returns the tokens of the whole prompt.
func (drawn Drawn) PromptTokens() int {
	return drawn.Kind.Opening*drawn.Kind.OpeningTokens + drawn.Kind.Own
}

// Headers returns the request's headers.
func (drawn Drawn) Headers(model string) map[string][]string {
	headers := map[string][]string{
		admission.HeaderRoute:   {drawn.Kind.Route},
		admission.HeaderModel:   {model},
		admission.HeaderRequest: {drawn.ID},
		admission.HeaderPrompt: {
			strconv.Itoa(drawn.PromptTokens()),
		},
		admission.HeaderAnswer: {strconv.Itoa(drawn.Kind.Answer)},
	}
	if drawn.Wait > 0 {
		headers[admission.HeaderWait] = []string{strconv.FormatInt(drawn.Wait.Milliseconds(), 10)}
	}
	names, tokens := drawn.Parts()
	for index, name := range names {
		headers[admission.HeaderPrefix] = append(headers[admission.HeaderPrefix], name+"="+strconv.Itoa(tokens[index]))
	}
	return headers
}

// Body returns the request's body.
func (drawn Drawn) Body() []byte {
	content, err := json.Marshal(map[string]string{"prompt": drawn.Kind.Text})
	if err != nil {
		panic(err) // A map of strings always marshals.
	}
	return content
}

// EventParser reads a stream's lines as a client does, believing nothing but what it reads.
type EventParser struct {
	Record *histories.Answer
	name   string
	id     int
	run    string
}

// ParseLine takes one line without its end; now is when it came.
func (parser *EventParser) ParseLine(now time.Time, line string) {
	record := parser.Record
	if line == "" {
		record.Last = now
		if record.First == 0 {
			record.First = now.Sub(record.Sent)
		}
		if parser.name == "error" {
			record.Error = true
			return
		}
		record.IDs, record.Runs = append(record.IDs, parser.id), append(record.Runs, parser.run)
		record.Done = parser.name == "done"
		return
	}
	field, value, _ := strings.Cut(line, ": ")
	takes := map[string]func(){
		"id":    func() { parser.id, _ = strconv.Atoi(value) },
		"event": func() { parser.name = value },
		"data": func() {
			told := struct{ Run, Kind string }{}
			if json.Unmarshal([]byte(value), &told) == nil {
				parser.run, record.Kind = told.Run, told.Kind
			}
		},
	}
	if take := takes[field]; take != nil {
		take()
	}
}

// ParseRejection takes a refusal's body.
func ParseRejection(record *histories.Answer, body []byte) {
	refusal := struct{ Kind, Detail, Ran string }{}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Kind == "" {
		record.Kind = "unreadable"
		return
	}
	record.Kind, record.Detail, record.Ran = refusal.Kind, refusal.Detail, refusal.Ran
}
