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

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/control/node"
	"wardtray/control/operator"
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

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run runs one command and gives the exit code.
func run(arguments []string, input io.Reader, output, errors io.Writer) int {
	finished := false
	application := kingpin.New("wtctl", help).UsageWriter(output).ErrorWriter(errors).Terminate(func(int) { finished = true })
	application.HelpFlag.Short('h')
	cores := application.Flag("core", "HTTP address of a wtcore; may be given several times, tried in order.").Short('c').Envar("WTCTL_CORE").Strings()
	asJSON := application.Flag("json", "Print answers as JSON.").Bool()
	here := &context{input: input, output: output, errors: errors}
	known := here.register(application)
	chosen, err := application.Parse(arguments)
	if finished {
		return codeOfHelp(arguments)
	}
	if err != nil {
		fmt.Fprintf(errors, "wtctl: %v; see wtctl --help\n", err)
		return exitUsage
	}
	here.client, here.json = operator.New(*cores), *asJSON
	code, err := known[chosen]()
	if err != nil {
		fmt.Fprintf(errors, "wtctl: %v\n", err)
		return codeOf(err)
	}
	return code
}

// codeOfHelp is the exit code where only the usage was printed: kingpin ends alike when help is asked for and when no
// command is given.
func codeOfHelp(arguments []string) int {
	for _, argument := range arguments {
		if strings.HasPrefix(argument, "--help") || argument == "-h" || argument == "help" {
			return exitFine
		}
	}
	return exitUsage
}

// codeOf is the exit code of an error.
func codeOf(err error) int {
	codes := map[apierror.Code]int{apierror.Unreachable: exitUnreachable, apierror.BadSettings: exitUsage}
	if code, known := codes[apierror.Of(err).Code]; known {
		return code
	}
	return exitRefused
}

// orNew gives an operator's own id of an operation, or a new one.
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
func (here *context) told(reply node.Reply, err error) (int, error) {
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
	return apierror.Wrap(encoder.Encode(value), apierror.Internal, "printing")
}

// get prints the present spec, and its epoch to the errors.
func (here *context) get() (int, error) {
	reply, err := here.client.Get()
	if err != nil {
		return exitRefused, err
	}
	if here.json || reply.Outcome == "refused" {
		return here.told(reply, nil)
	}
	if reply.Outcome == "empty" {
		fmt.Fprintln(here.errors, "there is no spec yet; the first one is built on epoch 0")
		return exitFine, nil
	}
	fmt.Fprintf(here.errors, "epoch %d\n", reply.Epoch)
	return exitFine, here.print(reply.Spec)
}

// readFile reads a file, or the standard input for a dash.
func readFile(path string, input io.Reader) ([]byte, error) {
	// Kingpin hands a lone dash on as an empty argument.
	if path == "-" || path == "" {
		content, err := io.ReadAll(io.LimitReader(input, config.MaximumBytes+1))
		return content, apierror.Wrap(err, apierror.BadSettings, "reading standard input")
	}
	content, err := os.ReadFile(path)
	return content, apierror.Wrap(err, apierror.BadSettings, "reading the spec")
}

// sender is a call that sends a spec, or a change of it.
type sender func(client *operator.Client, content []byte, change operator.Change) (node.Reply, error)

// change reads a file and sends it, built on the epoch named or on the present one.
func (here *context) change(send sender, path, base string, change operator.Change) (int, error) {
	content, err := readFile(path, here.input)
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
		return exitUsage, apierror.New(apierror.BadSettings, "--base %q is no whole number", base)
	}
	return here.told(send(here.client, content, change))
}

// diff prints how the spec in a file differs from the present one; the exit code tells whether it does.
func (here *context) diff(path string) (int, error) {
	content, err := readFile(path, here.input)
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
