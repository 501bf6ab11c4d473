package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"

	"kitehub/config"
	"kitehub/internal/harness/invariant"
	"kitehub/internal/harness/scenario"
	"kitehub/internal/harness/trace"
	"kitehub/internal/signing"
)

type demoCmd struct {
	Trace string `help:"Write the trace there." type:"path"`
}

// Run plays the day of the demo. It fails if a rule was broken, and also if a rule was not checked
// at all.
func (d *demoCmd) Run() error {
	s, err := scenario.Load("demo")
	if err != nil {
		return err
	}
	fmt.Printf("%d controllers, %d stand-in workers, %.0f signed calls a second for %.0f s, %d troubles\n",
		s.Controllers, s.Workers.Count, s.Rate, s.LengthS, len(s.Troubles))
	res, err := playScenario(s, d.Trace)
	if err != nil {
		return err
	}
	res.Write(os.Stdout)
	for r, n := range res.Verdict.Checked {
		if n == 0 {
			return fmt.Errorf("rule %d was not checked: the day had no event that it applies to", r+1)
		}
	}
	return checkResult(res)
}

func playScenario(s *scenario.Day, out string) (*scenario.Result, error) {
	o := scenario.Options{Log: zerolog.Nop()}
	if isatty.IsTerminal(os.Stderr.Fd()) {
		o.Progress = os.Stderr
	}
	res, err := scenario.Play(s, o)
	if err == nil && out != "" {
		err = writeTrace(out, res.Trace)
	}
	return res, err
}

func writeTrace(name string, records []trace.Record) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	err = trace.Write(f, records)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func checkResult(res *scenario.Result) error {
	if res.InvalidSignatures > 0 {
		return fmt.Errorf("%d answers have no valid signature", res.InvalidSignatures)
	}
	if !res.Verdict.Passed() {
		return errors.New("a rule was broken")
	}
	return nil
}

type dayCmd struct {
	List dayListCmd `cmd:"" help:"Name the scripts that come with the program."`
	Play dayPlayCmd `cmd:"" help:"Play a script, from a file or by its name."`
}

type dayListCmd struct{}

func (dayListCmd) Run() error {
	for _, name := range scenario.Names() {
		fmt.Println(name)
	}
	return nil
}

type dayPlayCmd struct {
	Script string  `arg:"" help:"A file, or a name that 'day list' gives."`
	Scale  float64 `default:"1" help:"Make the day this many times as long."`
	Trace  string  `help:"Write the trace there." type:"path"`
	JSON   bool    `name:"json" help:"Print the result as JSON."`
}

func (d *dayPlayCmd) Run() error {
	s, err := scenario.Load(d.Script)
	if err != nil {
		return err
	}
	if d.Scale <= 0 {
		return errors.New("--scale: must be above 0")
	}
	s.Scale(d.Scale)
	res, err := playScenario(s, d.Trace)
	if err != nil {
		return err
	}
	if d.JSON {
		t := res.Total()
		t.Latency = nil
		err := json.NewEncoder(os.Stdout).Encode(map[string]any{
			"total":     t,
			"judged":    res.Verdict.Checked,
			"breaks":    res.Verdict.Violations,
			"cold_peak": res.Verdict.SlowStartPeak,
			"forged":    res.InvalidSignatures,
		})
		if err != nil {
			return err
		}
	} else {
		res.Write(os.Stdout)
	}
	return checkResult(res)
}

type rulesCmd struct {
	Check rulesCheckCmd `cmd:"" help:"Judge traces that days wrote."`
}

type rulesCheckCmd struct {
	Traces []string `arg:"" type:"path"`
}

func (r *rulesCheckCmd) Run() error {
	broken := false
	for _, name := range r.Traces {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		records, err := trace.Read(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		v, err := invariant.Check(records)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		fmt.Println(name)
		v.Write(os.Stdout, 20)
		broken = broken || !v.Passed()
	}
	if broken {
		return errors.New("a rule was broken")
	}
	return nil
}

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check configurations; with several, also what only together they show."`
}

type configCheckCmd struct {
	Files []string `arg:"" type:"path"`
}

func (c *configCheckCmd) Run() error {
	var configs []*config.ControllerConfig
	var all config.Problems
	for _, name := range c.Files {
		b, err := config.Load(name)
		var p config.Problems
		switch {
		case errors.As(err, &p):
			all = append(all, p...)
		case err != nil:
			return err
		default:
			configs = append(configs, b)
			all = append(all, checkScripts(name, b.Scripts)...)
			for _, w := range b.Warnings {
				fmt.Fprintf(os.Stderr, "%s: warning: %s\n", name, w)
			}
		}
	}
	if len(all) == 0 && len(configs) > 1 {
		if err := config.CheckConsistency(c.Files, configs); err != nil {
			return err
		}
	}
	if len(all) > 0 {
		return all
	}
	fmt.Printf("%d files are well\n", len(c.Files))
	return nil
}

// checkScripts compiles the scripts of a configuration, and returns the errors.
func checkScripts(configFile string, scripts []*config.HookFile) (problems config.Problems) {
	for i, script := range scripts {
		if _, err := compileFile(script.File); err != nil {
			problems = append(problems, config.Problem{
				File:    configFile,
				Field:   fmt.Sprintf("hooks.scripts[%d].file", i),
				Message: err.Error(),
				Remedy:  "see kitehub hook check",
			})
		}
	}
	return problems
}

type keyCmd struct {
	New    keyNewCmd    `cmd:"" help:"Make a secret (whsec_), or a pair of keys (whsk_, whpk_)."`
	Derive keyDeriveCmd `cmd:"" help:"Print the secret of one controller's endpoint, from a common one on standard input."`
}

type keyNewCmd struct {
	Asymmetric bool `help:"An ed25519 pair."`
}

func (k *keyNewCmd) Run() error {
	if k.Asymmetric {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return err
		}
		encode := base64.StdEncoding.EncodeToString
		fmt.Printf("whsk_%s\nwhpk_%s\n", encode(private), encode(public))
		return nil
	}
	var secret [32]byte
	rand.Read(secret[:])
	fmt.Println("whsec_" + base64.StdEncoding.EncodeToString(secret[:]))
	return nil
}

type keyDeriveCmd struct {
	Endpoint string `arg:"" help:"The controller's name."`
}

func (k *keyDeriveCmd) Run() error {
	var common string
	if _, err := fmt.Scanln(&common); err != nil {
		return fmt.Errorf("no secret on standard input: %w", err)
	}
	own, err := signing.DeriveSecret(common, k.Endpoint)
	if err != nil {
		return err
	}
	fmt.Println(own)
	return nil
}
