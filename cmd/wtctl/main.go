// Command wtctl is the operators' command line over a whole fleet.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"wardtray/config"
	"wardtray/config/nginx"
	"wardtray/control/core"
	"wardtray/control/operator"
	"wardtray/process/fault"
	"wardtray/request/intake"
)

// The exit codes; wtctl --help tells them.
const (
	exitFine        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

const help = `wtctl drives a wardtray fleet.

Exit codes: 0 done, 1 refused (or diff found a difference), 2 wrong use, 3 outcome unknown (ask with
"wtctl operation ID"), 4 nobody answers.

Examples:
  export WTCTL_CORE=127.0.1.1:8100
  wtctl get > spec.json
  wtctl diff spec.json
  wtctl apply spec.json
  wtctl apply spec.json --base 7 --operation change-42
  wtctl change new-lane.json
  wtctl close quay
  wtctl operation change-42
  wtctl status chain
  wtctl import nginx.conf > spec.json
  wtctl explain 127.0.1.1:8200 --lane chat --model m --prompt-tokens 900 --prefix system=400`

type context struct {
	client *operator.Client
	json   bool
	output io.Writer
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

func run(arguments []string, input io.Reader, output, errors io.Writer) int {
	ended, code := false, exitFine
	application := kingpin.New("wtctl", help).UsageWriter(output).ErrorWriter(errors).Terminate(func(int) { ended = true })
	application.HelpFlag.Short('h')
	cores := application.Flag("core", "HTTP address of a wtcore; may be given several times, tried in order.").Short('c').Envar("WTCTL_CORE").Strings()
	asJSON := application.Flag("json", "Print answers as JSON.").Bool()
	here := &context{output: output}

	commands := map[string]func() (int, error){}
	get := application.Command("get", "Print the present spec; its epoch goes to standard error.")
	commands[get.FullCommand()] = func() (int, error) { return here.get(errors) }

	apply := application.Command("apply", "Put a whole spec into effect, or nothing of it.")
	applyFile := apply.Arg("file", "The spec; - for standard input.").Required().String()
	base := apply.Flag("base", "The epoch it was built on; the present one if left out.").Default("").String()
	applyOperation := apply.Flag("operation", "An id of your own, to ask by and to repeat safely.").String()
	applyEpoch := apply.Flag("epoch", "The epoch that the spec is to have; the next one if left out.").Uint64()
	commands[apply.FullCommand()] = func() (int, error) {
		return here.change((*operator.Client).Apply, *applyFile, *base, operator.Change{Operation: orNew(*applyOperation), Epoch: *applyEpoch}, input)
	}

	change := application.Command("change", "Add, replace and remove named zones, pools and lanes: all of it, or nothing.")
	changeFile := change.Arg("file", "The change; - for standard input.").Required().String()
	changeBase := change.Flag("base", "The epoch it was built on; the present one if left out.").Default("").String()
	changeOperation := change.Flag("operation", "An id of your own, to ask by and to repeat safely.").String()
	changeEpoch := change.Flag("epoch", "The epoch that the spec is to have; the next one if left out.").Uint64()
	commands[change.FullCommand()] = func() (int, error) {
		return here.change((*operator.Client).Change, *changeFile, *changeBase, operator.Change{Operation: orNew(*changeOperation), Epoch: *changeEpoch}, input)
	}

	diff := application.Command("diff", "Show how a spec differs from the present one.")
	diffFile := diff.Arg("file", "The spec; - for standard input.").Required().String()
	commands[diff.FullCommand()] = func() (int, error) { return here.diff(*diffFile, input) }

	for _, verb := range []string{"close", "open"} {
		command := application.Command(verb, map[string]string{"close": "Close a zone to new work.", "open": "Open a zone again."}[verb])
		zone := command.Arg("zone", "The zone's name.").Required().String()
		named := command.Flag("operation", "An id of your own.").String()
		commands[command.FullCommand()] = func() (int, error) {
			operation := orNew(*named)
			return here.told(here.client.Zone(verb, *zone, operation))
		}
	}

	operation := application.Command("operation", "Tell what became of a change.")
	operationID := operation.Arg("id", "Its operation id.").Required().String()
	commands[operation.FullCommand()] = func() (int, error) { return here.told(here.client.Operation(*operationID)) }

	status := application.Command("status", "Show the fleet.")
	part := status.Arg("part", "all, chain, view, cohort, runners or counters.").Default("all").Enum("all", "chain", "view", "cohort", "runners", "counters")
	commands[status.FullCommand()] = func() (int, error) { return here.status(*part) }

	explain := application.Command("explain", "Tell where a request would go and why, without sending it.")
	daemon := explain.Arg("daemon", "HTTP address of a wtdata.").Required().String()
	lane := explain.Flag("lane", "The lane.").Required().String()
	model := explain.Flag("model", "The model.").Required().String()
	adapter := explain.Flag("adapter", "The adapter.").String()
	tokens := explain.Flag("prompt-tokens", "The prompt's tokens.").Default("1000").String()
	prefix := explain.Flag("prefix", "Prefix parts in order, as name=tokens,name=tokens.").String()
	commands[explain.FullCommand()] = func() (int, error) {
		headers := map[string]string{intake.HeaderLane: *lane, intake.HeaderModel: *model, intake.HeaderRequest: "explain",
			intake.HeaderPrompt: *tokens, intake.HeaderAnswer: "1"}
		for name, value := range map[string]string{intake.HeaderAdapter: *adapter, intake.HeaderPrefix: *prefix} {
			if value != "" {
				headers[name] = value
			}
		}
		return here.explain(*daemon, headers)
	}

	importing := application.Command("import", "Read an nginx configuration's upstreams into a spec to be reviewed; notes go to standard error.")
	importFile := importing.Arg("file", "The configuration.").Required().String()
	commands[importing.FullCommand()] = func() (int, error) {
		made, notes, err := nginx.Import(*importFile)
		if err != nil {
			return exitRefused, err
		}
		for _, note := range notes {
			fmt.Fprintln(errors, note)
		}
		return exitFine, here.print(json.RawMessage(made.Encode()))
	}

	chosen, err := application.Parse(arguments)
	if ended {
		// Kingpin ends alike when help is asked for and when no command is given.
		for _, argument := range arguments {
			if strings.HasPrefix(argument, "--help") || argument == "-h" || argument == "help" {
				return exitFine
			}
		}
		return exitUsage
	}
	if err != nil {
		fmt.Fprintf(errors, "wtctl: %v; see wtctl --help\n", err)
		return exitUsage
	}
	here.client, here.json = operator.New(*cores), *asJSON
	code, err = commands[chosen]()
	if err != nil {
		fmt.Fprintf(errors, "wtctl: %v\n", err)
		codes := map[fault.Kind]int{fault.Unreachable: exitUnreachable, fault.BadStartup: exitUsage}
		if code = codes[fault.Of(err).Kind]; code == exitFine {
			code = exitRefused
		}
	}
	return code
}

func orNew(operation string) string {
	if operation != "" {
		return operation
	}
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic(err) // An id that might repeat could give a change another's outcome.
	}
	return "wtctl-" + hex.EncodeToString(bytes[:])
}

var outcomeCodes = map[string]int{"accepted": exitFine, "found": exitFine, "empty": exitFine, "refused": exitRefused, "unknown": exitUnknown, "pending": exitUnknown}

// told prints an answer and gives the exit code that fits.
func (here *context) told(reply core.Reply, err error) (int, error) {
	if err != nil {
		return exitRefused, err
	}
	if here.json {
		return outcomeCodes[reply.Outcome], here.print(reply)
	}
	fmt.Fprintf(here.output, "%s", reply.Outcome)
	if reply.Epoch > 0 {
		fmt.Fprintf(here.output, ", epoch %d", reply.Epoch)
	}
	if reply.Operation != "" {
		fmt.Fprintf(here.output, ", operation %s", reply.Operation)
	}
	fmt.Fprintln(here.output)
	if reply.Kind != "" {
		fmt.Fprintf(here.output, "%s: %s\nremedy: %s\n", reply.Kind, reply.Detail, reply.Remedy)
	}
	for _, flaw := range reply.Flaws {
		fmt.Fprintf(here.output, "  %s: %s\n", flaw.Path, flaw.Detail)
	}
	return outcomeCodes[reply.Outcome], nil
}

func (here *context) print(value any) error {
	encoder := json.NewEncoder(here.output)
	encoder.SetIndent("", "  ")
	return fault.Wrap(encoder.Encode(value), fault.Internal, "printing")
}

func (here *context) get(errors io.Writer) (int, error) {
	reply, err := here.client.Get()
	if err != nil {
		return exitRefused, err
	}
	if here.json || reply.Outcome == "refused" {
		return here.told(reply, nil)
	}
	if reply.Outcome == "empty" {
		fmt.Fprintln(errors, "there is no spec yet; the first one is built on epoch 0")
		return exitFine, nil
	}
	fmt.Fprintf(errors, "epoch %d\n", reply.Epoch)
	return exitFine, here.print(reply.Spec)
}

func readFile(path string, input io.Reader) ([]byte, error) {
	// Kingpin hands a lone dash on as an empty argument.
	if path == "-" || path == "" {
		content, err := io.ReadAll(io.LimitReader(input, config.MaximumBytes+1))
		return content, fault.Wrap(err, fault.BadStartup, "reading standard input")
	}
	content, err := os.ReadFile(path)
	return content, fault.Wrap(err, fault.BadStartup, "reading the spec")
}

// change reads a file and sends it, built on the epoch named or on the present one.
func (here *context) change(send func(client *operator.Client, content []byte, change operator.Change) (core.Reply, error),
	path, base string, change operator.Change, input io.Reader) (int, error) {
	content, err := readFile(path, input)
	if err != nil {
		return exitUsage, err
	}
	if base == "" {
		reply, err := here.client.Get()
		if err != nil {
			return exitRefused, err
		}
		if reply.Outcome == "refused" {
			return here.told(reply, nil)
		}
		change.Base = reply.Epoch
	} else if change.Base, err = strconv.ParseUint(base, 10, 64); err != nil {
		return exitUsage, fault.New(fault.BadStartup, "--base %q is no whole number", base)
	}
	return here.told(send(here.client, content, change))
}

func (here *context) diff(path string, input io.Reader) (int, error) {
	content, err := readFile(path, input)
	if err != nil {
		return exitUsage, err
	}
	wanted, err := config.Parse(content)
	if err != nil {
		return exitRefused, err
	}
	reply, err := here.client.Get()
	if err != nil {
		return exitRefused, err
	}
	present := &config.Spec{}
	if len(reply.Spec) > 0 {
		if present, err = config.Parse(reply.Spec); err != nil {
			return exitRefused, err
		}
	}
	changes := config.Diff(present, wanted)
	flaws := wanted.Check()
	if here.json {
		err = here.print(map[string]any{"epoch": reply.Epoch, "changes": changes, "flaws": flaws})
	} else {
		fmt.Fprintf(here.output, "against epoch %d\n", reply.Epoch)
		for _, change := range changes {
			fmt.Fprintln(here.output, change)
		}
		for _, flaw := range flaws {
			fmt.Fprintf(here.output, "! %s: %s\n", flaw.Path, flaw.Detail)
		}
	}
	return min(1, len(changes)+len(flaws)), err
}

func (here *context) explain(daemon string, headers map[string]string) (int, error) {
	content, err := here.client.Explain(daemon, headers, []byte(`{"prompt":"-"}`))
	if err != nil {
		return exitRefused, err
	}
	if here.json {
		return exitFine, here.print(content)
	}
	return exitFine, explained(here.output, content)
}
