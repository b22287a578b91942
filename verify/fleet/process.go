package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"wardtray/config/process"
)

// The programs of a fleet.
const (
	programData = "wtdata"
	programCore = "wtcore"
)

// filePermissions are those of settings and logs.
const filePermissions = 0o640

// Process is one process of a fleet, which may be started again after its end. It is safe for concurrent use.
type Process struct {
	// Name tells it from all others. Program is that of its binary.
	Name, Program string
	Settings      process.Settings

	binary, settingsFile, logFile string

	mutex sync.Mutex
	// command and finished are those of the last start, nil before the first; finished is closed when it has ended.
	command  *exec.Cmd
	finished chan struct{}
}

// newProcess writes the settings of a process to a folder, where its log goes too. Nothing runs yet.
func newProcess(name, program string, settings process.Settings, folder, binaries string) (*Process, error) {
	process := &Process{
		Name:         name,
		Program:      program,
		Settings:     settings,
		binary:       filepath.Join(binaries, program),
		settingsFile: filepath.Join(folder, name+".json"),
		logFile:      filepath.Join(folder, name+".log"),
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return process, os.WriteFile(process.settingsFile, content, filePermissions)
}

// Start starts the process. The end of the context kills it.
func (process *Process) Start(ctx context.Context) error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.isRunning() {
		return fmt.Errorf("starting %s: %w", process.Name, ErrRunning)
	}
	log, err := os.OpenFile(process.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	// The process has a descriptor of its own.
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(ctx, process.binary, "--startup", process.settingsFile)
	command.Stdout, command.Stderr = log, log
	// A wtverify that is killed must not leave a fleet behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := command.Start(); err != nil {
		return err
	}
	finished := make(chan struct{})
	process.command, process.finished = command, finished
	go func() {
		// A process that was killed ends with an error that says just that.
		_ = command.Wait()
		close(finished)
	}()
	return nil
}

// isRunning reports whether the process was started and has not ended. The caller holds the mutex.
func (process *Process) isRunning() bool {
	if process.finished == nil {
		return false
	}
	select {
	case <-process.finished:
		return false
	default:
		return true
	}
}

// Freeze stops the process's execution until Resume.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (process *Process) Resume() { process.signal(syscall.SIGCONT) }

// Terminate asks the process to end and waits until it has. It returns the context's error where that ends before.
func (process *Process) Terminate(ctx context.Context) error {
	finished := process.signal(syscall.SIGTERM)
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill ends the process at once and waits until it has ended.
func (process *Process) Kill() { <-process.signal(syscall.SIGKILL) }

// signal sends a signal to the process, if it runs. What it returns is closed when the process has ended.
func (process *Process) signal(signal syscall.Signal) (finished <-chan struct{}) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	// It fails only where the process has ended, which the channel tells.
	_ = process.command.Process.Signal(signal)
	return process.finished
}

// killAll ends processes at once, all of them before it waits for the first.
func killAll(processes []*Process) {
	for _, process := range processes {
		process.signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		process.Kill()
	}
}

// startAll starts processes in order.
func startAll(ctx context.Context, processes []*Process) error {
	for _, process := range processes {
		if err := process.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}
