// Package rig has what the cases of this review share: it starts the project's programs as separate
// processes, keeps the record of a run, and has a small signing client and stand-in workers.
package rig

import (
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

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// A Case is one run of a case. Its working directory is the root of the repository.
type Case struct {
	Tmp     string // temporary folder, removed at the end
	Trouble bool   // false if the environment has TROUBLE=0

	start  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Proc
	ended  bool
}

// New begins a case, whose record is written to review/NUMBER/record.txt.
func New(number string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join("review", number, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.Tmp, err = os.MkdirTemp("", "review"); err != nil {
		c.Fatal("temporary folder: %v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			c.Fatal("ended by %v", s)
		case <-time.After(timeLimit):
			c.Fatal("not done after %v", timeLimit)
		}
	}()
	c.Log("case %s, trouble %v", number, c.Trouble)
	return c
}

// Log adds a line to the record, with the time since the start.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// End ends all processes of the case and the case itself.
func (c *Case) End(code int, format string, args ...any) {
	verdict := map[int]string{Held: "HELD", Broken: "BROKEN", NotRun: "NOT RUN"}[code]
	text := verdict + ": " + fmt.Sprintf(format, args...)
	c.Log("%s", text)
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		select {}
	}
	c.ended = true
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.Ended
	}
	fmt.Println(text)
	c.record.Close()
	os.RemoveAll(c.Tmp)
	os.Exit(code)
}

// Fatal ends a case that could not run.
func (c *Case) Fatal(format string, args ...any) { c.End(NotRun, format, args...) }

// A Proc is a process that the case has started.
type Proc struct {
	Name  string
	Ended chan struct{} // closed when the process has ended
	cmd   *exec.Cmd
	c     *Case
	log   string
}

// Start starts bin/kitehub in the temporary folder, the way in which the deploy file starts it.
func (c *Case) Start(name string, args ...string) *Proc {
	root, err := os.Getwd()
	if err != nil {
		c.Fatal("%v", err)
	}
	p := &Proc{Name: name, Ended: make(chan struct{}), c: c, log: filepath.Join(c.Tmp, name+".log")}
	p.cmd = exec.Command("/bin/sh", "-c", "exec "+filepath.Join(root, "bin/kitehub")+` "$@"`, "sh")
	p.cmd.Args = append(p.cmd.Args, args...)
	p.cmd.Dir = c.Tmp
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		c.Fatal("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		c.Fatal("start %s: %v", name, err)
	}
	out.Close()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Log("started %s: kitehub %s", name, strings.Join(args, " "))
	go func() {
		err := p.cmd.Wait()
		c.Log("%s has ended: %v", name, errText(err))
		close(p.Ended)
	}()
	return p
}

func errText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) {
	p.c.Log("%v to %s", s, p.Name)
	if err := p.cmd.Process.Signal(s); err != nil {
		p.c.Log("%v to %s: %v", s, p.Name, err)
	}
}

// PID returns the id of the process.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// HasEnded reports whether the process has ended.
func (p *Proc) HasEnded() bool {
	select {
	case <-p.Ended:
		return true
	default:
		return false
	}
}

// AwaitEnd waits for the end of the process, and ends the case if it does not come.
func (p *Proc) AwaitEnd(timeout time.Duration) {
	select {
	case <-p.Ended:
	case <-time.After(timeout):
		p.c.Fatal("%s has not ended within %v", p.Name, timeout)
	}
}

// LogText returns what the process has written.
func (p *Proc) LogText() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// LastLines returns the last lines that the process has written.
func (p *Proc) LastLines(n int) string {
	lines := strings.Split(strings.TrimSpace(p.LogText()), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], " | ")
}

// AwaitLog waits until the process has written a text, and ends the case if it does not.
func (p *Proc) AwaitLog(text string, timeout time.Duration) {
	for deadline := time.Now().Add(timeout); !strings.Contains(p.LogText(), text); {
		if time.Now().After(deadline) || p.HasEnded() {
			p.c.Fatal("%s did not write %q: %s", p.Name, text, p.LogText())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Command runs bin/kitehub to its end and returns what it wrote, and whether it ended with 0.
func (c *Case) Command(env []string, args ...string) (output string, ok bool) {
	cmd := exec.Command("bin/kitehub", args...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.CombinedOutput()
	c.Log("kitehub %s: %s (%s)", strings.Join(args, " "), strings.TrimSpace(string(out)), errText(err))
	return string(out), err == nil
}

// WriteFile writes a file in the temporary folder and returns its path.
func (c *Case) WriteFile(name, text string) string {
	path := filepath.Join(c.Tmp, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		c.Fatal("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		c.Fatal("%v", err)
	}
	return path
}

// FreeAddr returns a free loopback address.
func (c *Case) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// AwaitListener waits until something accepts connections at an address.
func (c *Case) AwaitListener(addr string, timeout time.Duration) {
	for deadline := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			conn.Close()
			return
		}
		if time.Now().After(deadline) {
			c.Fatal("nothing listens at %s after %v", addr, timeout)
		}
	}
}

// Number returns the number of the case, which the environment may give as CASE.
func Number(number string) string {
	if n := os.Getenv("CASE"); n != "" {
		return n
	}
	return number
}
