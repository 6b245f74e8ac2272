package soak

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a program that the soak started. It is signaled only by its process ID,
// and the kernel kills it when the soak ends.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	// expected reports whether the soak ended it or expects its end.
	expected bool
	failure  error
}

// StartProcess starts a program. The lines of its standard output go to onLine and to
// the log.
func StartProcess(name string, log io.Writer, onLine func(line []byte), env []string, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = env
	cmd.Stderr = log
	// Kills the program even if the soak crashes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "soak: "+name)
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "soak: start "+name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go p.watch(out, log, onLine)
	return p, nil
}

func (p *Process) watch(out io.Reader, log io.Writer, onLine func([]byte)) {
	defer close(p.done)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if onLine != nil {
			onLine(lines.Bytes())
		}
		_, _ = log.Write(append(lines.Bytes(), '\n')) // the checks don't depend on the log
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expected {
		p.failure = errors.Newf("%s ended by itself: %v", p.Name, err)
	}
}

// Signal sends a signal. SIGKILL and SIGTERM mark the end of the process as expected.
func (p *Process) Signal(sig os.Signal) {
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.mu.Lock()
		p.expected = true
		p.mu.Unlock()
	}
	_ = p.cmd.Process.Signal(sig) // fails only if the process has ended
}

// ExpectEnd allows the process to end by itself from now on.
func (p *Process) ExpectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = true
}

// ended reports whether the process has ended.
func (p *Process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Failure returns an error if the process ended unexpectedly.
func (p *Process) Failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

// WaitFor waits up to d for the process to end and reports whether it did.
func (p *Process) WaitFor(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// End kills the process and waits until it has ended.
func (p *Process) End() {
	p.Signal(syscall.SIGKILL)
	p.Signal(syscall.SIGCONT)
	<-p.done
}
