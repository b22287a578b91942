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

// The names of the programs, which are those of their binaries.
const (
	programData = "wtdata"
	programCore = "wtcore"
)

// filePermissions are the permissions of settings files and logs.
const filePermissions = 0o640

// Process is one process of a fleet. It can be started again after it has ended. It is safe for concurrent use.
type Process struct {
	// Name is unique in the fleet. Program is the name of the binary.
	Name, Program string
	Settings      process.Settings

	binary, settingsFile, logFile string

	mutex sync.Mutex
	// command and finished belong to the last start and are nil before the first. finished is closed when the process
	// has ended.
	command  *exec.Cmd
	finished chan struct{}
}

// newProcess writes the settings of a process to a folder, which also receives its log. It doesn't start the process.
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

// Start starts the process. Cancelling the context kills it. It returns ErrRunning if the process is already running.
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
	// The child process has its own file descriptor.
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(ctx, process.binary, "--startup", process.settingsFile)
	command.Stdout, command.Stderr = log, log
	// If wtverify is killed, its child processes must not stay behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := command.Start(); err != nil {
		return err
	}
	finished := make(chan struct{})
	process.command, process.finished = command, finished
	go func() {
		// For a process that was killed, the error only reports the signal.
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

// Freeze suspends the process with SIGSTOP until Resume.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (process *Process) Resume() { process.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits until the process has ended. It returns the context's error if the context is
// cancelled first.
func (process *Process) Terminate(ctx context.Context) error {
	finished := process.signal(syscall.SIGTERM)
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (process *Process) Kill() { <-process.signal(syscall.SIGKILL) }

// signal sends a signal to the process if it is running. The returned channel is closed when the process has ended.
func (process *Process) signal(signal syscall.Signal) (finished <-chan struct{}) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	// Signal fails only if the process has ended; then the channel is closed or about to be.
	_ = process.command.Process.Signal(signal)
	return process.finished
}

// killAll sends SIGKILL to all processes before it waits for their ends.
func killAll(processes []*Process) {
	for _, process := range processes {
		process.signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		process.Kill()
	}
}

// startAll starts processes in order and stops at the first error.
func startAll(ctx context.Context, processes []*Process) error {
	for _, process := range processes {
		if err := process.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}
