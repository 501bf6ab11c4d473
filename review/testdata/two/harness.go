// Command two runs the cases 6 to 10 of the review, see review/REPORT-2.md. Each case starts the project's own
// programs as separate processes and plays clients and workers beside them. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A bench holds what one case has started, and its record.
type bench struct {
	trouble bool   // play the disruption
	program string // path of the project's program
	dir     string // temporary folder

	mu     sync.Mutex
	record *os.File
	start  time.Time
	procs  []*process
}

// A process is one started program.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    string
	exited chan struct{} // closed once the process has ended
}

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(*bench) (broken bool, err error){}

// errSetup marks a failure to set a case up, as opposed to a broken rule.
var errSetup = errors.New("the case could not run")

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: two CASE PROGRAM RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*bench) (bool, error), program, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "two")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	b := &bench{
		trouble: os.Getenv("TROUBLE") != "0",
		program: program,
		dir:     dir,
		record:  file,
		start:   time.Now(),
	}
	defer b.endAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		b.endAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	b.notef("trouble: %v", b.trouble)
	broken, err := play(b)
	b.endAll()
	for _, p := range b.procs {
		b.copyLog(p)
	}
	switch {
	case err != nil:
		b.notef("RESULT 2: %v", err)
		return 2
	case broken:
		b.notef("RESULT 1: the rule was broken")
		return 1
	}
	b.notef("RESULT 0: the rule held")
	return 0
}

// notef adds a line to the record, with the time since the start of the case.
func (b *bench) notef(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%9.3f  %s\n", time.Since(b.start).Seconds(), strings.TrimSpace(strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")))
	b.record.WriteString(line)
	os.Stdout.WriteString(line)
}

// path returns the path of a file in the temporary folder.
func (b *bench) path(name string) string { return filepath.Join(b.dir, name) }

// write writes a file into the temporary folder.
func (b *bench) write(name, text string) error {
	return os.WriteFile(b.path(name), []byte(text), 0o600)
}

// begin starts the project's program. Its standard error goes to a file of its own.
func (b *bench) begin(name string, args ...string) (*process, error) {
	log := b.path(name + ".log")
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", append([]string{"-c", `exec "$0" "$@"`, b.program}, args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, log: log, exited: make(chan struct{})}
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	b.notef("started %s: kitehub %s", name, strings.ReplaceAll(strings.Join(args, " "), b.dir, "DIR"))
	go func() {
		cmd.Wait()
		b.notef("%s has ended: %v", name, cmd.ProcessState)
		close(p.exited)
	}()
	return p, nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to a process that has not ended.
func (b *bench) signal(p *process, s syscall.Signal) {
	if p.running() {
		b.notef("%v to %s", s, p.name)
		p.cmd.Process.Signal(s)
	}
}

// awaitEnd waits until the process has ended, and reports whether it has within the time.
func (p *process) awaitEnd(within time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// awaitLog waits until the log of a process holds a text.
func (b *bench) awaitLog(p *process, text string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if logged, _ := os.ReadFile(p.log); strings.Contains(string(logged), text) {
			return nil
		}
		if !p.running() {
			break
		}
	}
	return fmt.Errorf("%w: %s did not log %q", errSetup, p.name, text)
}

// endAll ends all processes that were started and have not ended.
func (b *bench) endAll() {
	b.mu.Lock()
	procs := append([]*process(nil), b.procs...)
	b.mu.Unlock()
	for _, p := range procs {
		if p.running() {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// copyLog adds the last lines of a process's log to the record.
func (b *bench) copyLog(p *process) {
	logged, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(logged)), "\n")
	if len(lines) > 40 {
		lines = lines[len(lines)-40:]
	}
	for _, line := range lines {
		b.notef("log of %s: %s", p.name, strings.ReplaceAll(line, b.dir, "DIR"))
	}
}

// freeAddr returns an address on loopback that nobody listens on.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
