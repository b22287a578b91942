// Command broken proves that the tests can fail: it applies each patch of broken code to a copy of the
// tree, runs the test that the patch names, and wants it red for the reason that the patch names.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"
)

// patch is one piece of broken code with what must notice it.
type patch struct {
	name, file                     string
	rule, folder, test, seeds, red string
}

func main() {
	application := kingpin.New("broken", "Applies each patch below proof/broken to a copy of the tree and wants the named test red for the named reason.")
	application.HelpFlag.Short('h')
	only := application.Flag("only", "Only patches whose name matches this pattern.").Regexp()
	jobs := application.Flag("jobs", "How many at once.").Default("3").Int()
	list := application.Flag("list", "Only list the patches.").Bool()
	kingpin.MustParse(application.Parse(os.Args[1:]))
	patches, err := read("proof/broken")
	if err != nil {
		end(err)
	}
	var chosen []patch
	for _, patch := range patches {
		if *only == nil || (*only).MatchString(patch.name) {
			chosen = append(chosen, patch)
		}
	}
	if len(chosen) == 0 || *jobs < 1 {
		end(fmt.Errorf("nothing to do: give --only a pattern of names that --list shows, and --jobs of at least 1"))
	}
	if *list {
		for _, patch := range chosen {
			fmt.Printf("%-24s %s\n", patch.name, patch.rule)
		}
		return
	}
	if !tryAll(chosen, *jobs) {
		os.Exit(1)
	}
}

func end(err error) {
	fmt.Fprintln(os.Stderr, "broken:", err)
	os.Exit(2)
}

// read takes in every patch with its head.
func read(folder string) ([]patch, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.patch"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("no patches in %s: start this from the root of the tree (%v)", folder, err)
	}
	sort.Strings(files)
	var patches []patch
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		head, _, _ := strings.Cut(string(content), "\n\n")
		fields := map[string]string{}
		for _, line := range strings.Split(head, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			fields[name] = value
		}
		made := patch{name: strings.TrimSuffix(filepath.Base(file), ".patch"), file: file, rule: fields["Rule"], seeds: fields["Seeds"], red: fields["Red"]}
		made.folder, made.test, _ = strings.Cut(fields["Test"], " ")
		if made.rule == "" || made.test == "" || made.red == "" {
			return nil, fmt.Errorf("%s: its head wants Rule, Test and Red", file)
		}
		patches = append(patches, made)
	}
	return patches, nil
}

func tryAll(patches []patch, jobs int) bool {
	waiting := make(chan patch)
	var mutex sync.Mutex
	var workers sync.WaitGroup
	noticed := 0
	for range jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for patch := range waiting {
				by, err := try(patch)
				mutex.Lock()
				if err != nil {
					fmt.Printf("MISSED  %-24s %v\n", patch.name, err)
				} else {
					noticed++
					fmt.Printf("noticed %-24s %s\n", patch.name, by)
				}
				mutex.Unlock()
			}
		}()
	}
	for _, patch := range patches {
		waiting <- patch
	}
	close(waiting)
	workers.Wait()
	fmt.Printf("%d of %d pieces of broken code noticed\n", noticed, len(patches))
	return noticed == len(patches)
}

// try gives the line by which the test noticed a patch.
func try(patch patch) (string, error) {
	folder, err := os.MkdirTemp("", "broken-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(folder)
	if err := copyTree(folder); err != nil {
		return "", err
	}
	whole, err := filepath.Abs(patch.file)
	if err != nil {
		return "", err
	}
	if output, err := run(folder, nil, "git", "apply", "--whitespace=nowarn", whole); err != nil {
		return "", fmt.Errorf("the patch no longer applies: %s", strings.TrimSpace(output))
	}
	if output, err := run(folder, nil, "go", "build", "./..."); err != nil {
		return "", fmt.Errorf("the patched tree does not build: %s", strings.TrimSpace(output))
	}
	output, err := run(folder, []string{"WARDTRAY_SEEDS=" + patch.seeds}, "go", "test", patch.folder, "-run", patch.test, "-count=1", "-timeout", "20m")
	if err == nil {
		return "", fmt.Errorf("%s stays green", patch.test)
	}
	red, err := regexp.Compile(patch.red)
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(output, "\n") {
		if red.MatchString(line) {
			return strings.TrimSpace(line[:min(len(line), 200)]), nil
		}
	}
	return "", fmt.Errorf("red, but not for %q: %s", patch.red, strings.TrimSpace(output[:min(len(output), 600)]))
}

// copyTree copies what git tracks, or would, into a folder.
func copyTree(folder string) error {
	listed, err := run(".", nil, "git", "ls-files", "--cached", "--others", "--exclude-standard")
	if err != nil {
		return fmt.Errorf("asking git for the tree: %s", listed)
	}
	for _, file := range strings.Split(strings.TrimSpace(listed), "\n") {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		target := filepath.Join(folder, file)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, content, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func run(folder string, environment []string, program string, arguments ...string) (string, error) {
	command := exec.Command(program, arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), environment...)
	output, err := command.CombinedOutput()
	return string(output), err
}
