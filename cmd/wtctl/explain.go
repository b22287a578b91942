package main

import (
	"encoding/json"
	"sort"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/proxy/admission"
)

const (
	// explainBody is the body of the explained request; scheduling depends on the headers alone.
	explainBody = `{"prompt":"-"}`
	// explainID is the id of the explained request.
	explainID = "explain"
	// explainResponseTokens is the maximum length of the explained request's response, in tokens.
	explainResponseTokens = "1"
)

// explainedRequest is the request whose scheduling is explained, as the flags describe it.
type explainedRequest struct {
	route, model, adapter string
	// key is a tenant's API key; empty if the route needs none.
	key string
	// promptTokens is the length of the prompt, and prefix its parts in order as name=tokens, separated by commas.
	promptTokens, prefix string
}

// registerExplain declares the command that asks a daemon which runner it would choose for a request.
func (session *session) registerExplain(known commands, application *kingpin.Application) {
	command := application.Command("explain", "Show where a request would go and why, without sending it.")
	daemon := command.Arg("daemon", "HTTP address of a wtdata.").Required().String()
	request := explainedRequest{}
	command.Flag("lane", "The lane.").Required().StringVar(&request.route)
	command.Flag("model", "The model.").Required().StringVar(&request.model)
	command.Flag("adapter", "The adapter.").StringVar(&request.adapter)
	key := command.Flag("key", "A tenant's key, if the lane needs one.")
	key.Envar("WTCTL_KEY").StringVar(&request.key)
	command.Flag("prompt-tokens", "The prompt's length in tokens.").Default("1000").StringVar(&request.promptTokens)
	command.Flag("prefix", "Prefix parts in order, as name=tokens,name=tokens.").StringVar(&request.prefix)
	known[command.FullCommand()] = func() (exitCode, error) { return session.explain(*daemon, request) }
}

// headers returns the headers of the request.
func (request explainedRequest) headers() map[string]string {
	headers := map[string]string{
		admission.HeaderRoute:        request.route,
		admission.HeaderModel:        request.model,
		admission.HeaderRequest:      explainID,
		admission.HeaderPromptTokens: request.promptTokens,
		admission.HeaderAnswerTokens: explainResponseTokens,
	}
	if request.key != "" {
		headers[admission.HeaderAuthorization] = "Bearer " + request.key
	}
	if request.adapter != "" {
		headers[admission.HeaderAdapter] = request.adapter
	}
	if request.prefix != "" {
		headers[admission.HeaderPrefix] = request.prefix
	}
	return headers
}

// explain prints a daemon's scheduling decision for a request.
func (session *session) explain(daemon string, request explainedRequest) (exitCode, error) {
	content, err := session.client.Explain(daemon, request.headers(), []byte(explainBody))
	if err != nil {
		return exitRefused, err
	}
	if session.json {
		return exitFine, session.output.printJSON(content)
	}
	return exitFine, printExplanation(session.output, content)
}

// explanation is a daemon's response to POST /v1/explain.
type explanation struct {
	Decision     scheduler.Decision          `json:"step"`
	Candidates   []scheduler.ScoredCandidate `json:"quotes"`
	CostWeights  scheduler.CostWeights       `json:"prices"`
	Requirements scheduler.Requirements      `json:"bid"`
}

// printExplanation prints an encoded explanation: the decision, its inputs, and the candidates, best score first.
func printExplanation(output *printer, content []byte) error {
	explained := explanation{}
	if err := json.Unmarshal(content, &explained); err != nil {
		return apierror.Wrap(err, apierror.Malformed, "the daemon's answer")
	}
	explained.printDecision(output)
	return explained.printCandidates(output)
}

// printDecision prints the decision, the cost weights and the requirements of the request.
func (explained explanation) printDecision(output *printer) {
	decision, weights, requirements := explained.Decision, explained.CostWeights, explained.Requirements
	output.printf("step: %s", decision.Kind)
	if decision.Kind == scheduler.Dispatch {
		output.printf(" to %s at %s", decision.Runner.ID, decision.Runner.Address)
	}
	if decision.Reason != "" {
		output.printf(" (%s)", decision.Reason)
	}
	output.printf("\n")
	output.printf("prices: %.0f microseconds a token, %.2f s a place\n", weights.TokenSeconds*1e6, weights.SlotSeconds)
	output.printf("bid: worth %.0f, patience %v, within its purse %v\n",
		requirements.Value, requirements.LatencyTarget, requirements.WithinLimit)
}

// printCandidates prints a table of the candidates.
func (explained explanation) printCandidates(output *printer) error {
	candidates := explained.Candidates
	sort.SliceStable(candidates, func(left, right int) bool { return candidates[left].Score > candidates[right].Score })
	table := newTable(output)
	table.printf("RUNNER\tZONE\tLOAD\tSLOTS\tHELD TOKENS\tNET\tFIRST EVENT\tFULL\n")
	for _, scored := range candidates {
		candidate := scored.Candidate
		table.printf("%s\t%s\t%.0f\t%d\t%d\t%+.4f\t%.3f s\t%v\n", candidate.ID, candidate.Zone, candidate.Load,
			candidate.Slots, candidate.CachedTokens, scored.Score, scored.FirstEventSeconds, scored.Saturated)
	}
	return table.flush()
}
