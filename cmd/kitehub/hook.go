package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"kitehub/internal/hooklang"
)

type hookCmd struct {
	Check    hookCheckCmd    `cmd:"" help:"Check scripts, and tell what each handler may cost."`
	Fmt      hookFmtCmd      `cmd:"" help:"Format scripts in place."`
	Test     hookTestCmd     `cmd:"" help:"Run the tests that scripts hold."`
	Trace    hookTraceCmd    `cmd:"" help:"Run one test of a script and show each line with its variables."`
	Repl     hookReplCmd     `cmd:"" help:"Try the language, line by line."`
	Load     hookLoadCmd     `cmd:"" help:"Load a script into a running controller."`
	Promote  hookPromoteCmd  `cmd:"" help:"Make a shadow live." name:"promote"`
	Rollback hookRollbackCmd `cmd:"" help:"Go back to the version before."`
	Release  hookReleaseCmd  `cmd:"" help:"Let a script in quarantine run again."`
	Remove   hookRemoveCmd   `cmd:"" help:"Forget a script."`
}

type hookCheckCmd struct {
	Files []string `arg:"" type:"existingfile"`
}

func (h *hookCheckCmd) Run() error {
	failed := 0
	for _, name := range h.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		p, err := hooklang.Compile(name, string(text))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed++
			continue
		}
		for _, w := range p.Warnings {
			fmt.Fprintln(os.Stderr, w)
		}
		for _, c := range p.Costs() {
			fmt.Printf("%s:%v: on %s: %.4g instructions at most, by estimate (%s)\n", name, c.Pos, c.Point, c.Fuel, c.Reason)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d scripts have errors", failed, len(h.Files))
	}
	return nil
}

type hookFmtCmd struct {
	Files []string `arg:"" type:"existingfile"`
	List  bool     `short:"l" help:"Only name those that are not formatted; exit 1 if there are any."`
}

func (h *hookFmtCmd) Run() error {
	unformatted := 0
	for _, name := range h.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		out, err := hooklang.Format(name, string(text))
		if err != nil {
			return err
		}
		if out == string(text) {
			continue
		}
		unformatted++
		fmt.Println(name)
		if !h.List { // replace the file atomically
			tmp := filepath.Join(filepath.Dir(name), "."+filepath.Base(name)+".new")
			if err := os.WriteFile(tmp, []byte(out), 0o644); err != nil {
				return err
			}
			if err := os.Rename(tmp, name); err != nil {
				return err
			}
		}
	}
	if h.List && unformatted > 0 {
		return fmt.Errorf("%d scripts are not formatted", unformatted)
	}
	return nil
}

type hookTestCmd struct {
	Files []string `arg:"" type:"existingfile"`
}

func (h *hookTestCmd) Run() error {
	failed := 0
	for _, name := range h.Files {
		p, err := compileFile(name)
		if err != nil {
			return err
		}
		results := p.RunTests()
		for _, r := range results {
			if r.Err != nil {
				failed++
				fmt.Printf("FAIL %s: %v\n", r.Name, r.Err)
			}
		}
		fmt.Printf("%s: %d tests\n", name, len(results))
	}
	if failed > 0 {
		return fmt.Errorf("%d tests failed", failed)
	}
	return nil
}

func compileFile(name string) (*hooklang.Program, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return hooklang.Compile(name, string(text))
}

type hookTraceCmd struct {
	File string `arg:"" type:"existingfile"`
	Test string `arg:"" help:"Name of the test."`
}

func (h *hookTraceCmd) Run() error {
	p, err := compileFile(h.File)
	if err != nil {
		return err
	}
	lines := strings.Split(p.Text, "\n")
	found, err := p.TraceTest(h.Test, func(s hooklang.Step) {
		fmt.Printf("%4d  %-60s", s.Pos.Line, strings.TrimSpace(lines[s.Pos.Line-1]))
		if len(s.Vars) > 0 {
			fmt.Printf("  # %s", strings.Join(s.Vars, ", "))
		}
		fmt.Println()
	})
	if !found {
		return fmt.Errorf("%s has no test %q", h.File, h.Test)
	}
	return err
}

type hookReplCmd struct{}

func (h *hookReplCmd) Run() error {
	session := &hooklang.Session{}
	in := bufio.NewScanner(os.Stdin)
	fmt.Fprintln(os.Stderr, "Declarations and statements take effect, expressions are printed. Press Ctrl-D to exit.")
	for fmt.Fprint(os.Stderr, "> "); in.Scan(); fmt.Fprint(os.Stderr, "> ") {
		text := in.Text()
		for strings.Count(text, "{") > strings.Count(text, "}") && in.Scan() {
			text += "\n" + in.Text()
		}
		out, err := session.Eval(text)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		} else if out != "" {
			fmt.Println(out)
		}
	}
	fmt.Fprintln(os.Stderr)
	return in.Err()
}

type hookLoadCmd struct {
	operatorClient
	File   string `arg:"" type:"existingfile"`
	Name   string `help:"Name of the script; without it, that of the file."`
	Shadow bool   `help:"Run it beside the live version until it is promoted."`
}

func (h *hookLoadCmd) Run() error {
	if _, err := compileFile(h.File); err != nil { // checked here so that errors have the name of the file
		return err
	}
	text, err := os.ReadFile(h.File)
	if err != nil {
		return err
	}
	name := h.Name
	if name == "" {
		name = strings.TrimSuffix(filepath.Base(h.File), filepath.Ext(h.File))
	}
	return h.request("hook.load", map[string]any{"name": name, "text": string(text), "shadow": h.Shadow}, nil, nil)
}

type hookPromoteCmd struct {
	operatorClient
	Name  string `arg:""`
	Force bool   `help:"Though it has not been tried enough, or made faults."`
}

func (h *hookPromoteCmd) Run() error {
	return h.request("hook.promote", map[string]any{"name": h.Name, "force": h.Force}, nil, nil)
}

// hookNameCmd is the part that commands with only a script's name as argument have in common.
type hookNameCmd struct {
	operatorClient
	Name string `arg:""`
}

func (h *hookNameCmd) call(method string) error {
	if h.Name == "" {
		return errors.New("the name of the script is empty")
	}
	return h.request(method, map[string]any{"name": h.Name}, nil, nil)
}

type hookRollbackCmd struct{ hookNameCmd }
type hookReleaseCmd struct{ hookNameCmd }
type hookRemoveCmd struct{ hookNameCmd }

func (h *hookRollbackCmd) Run() error { return h.call("hook.rollback") }
func (h *hookReleaseCmd) Run() error  { return h.call("hook.release") }
func (h *hookRemoveCmd) Run() error   { return h.call("hook.remove") }
