package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"kitehub/internal/controller"
	"kitehub/internal/gateway"
	"kitehub/internal/hookengine"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/scheduler"
)

// An operatorClient holds the flags of commands that send a request to a running controller.
type operatorClient struct {
	Socket string        `required:"" type:"path" env:"KITEHUB_SOCKET" help:"The controller's rpc.socket."`
	Within time.Duration `default:"5s" help:"How long an answer may take."`
	JSON   bool          `help:"Print the answer as it came."`
}

// request sends one request and prints its result: by show, or as JSON if --json is given or show
// is nil.
func (s *operatorClient) request(method string, params, result any, show func()) error {
	c, err := jsonrpc.Dial(s.Socket, s.Within)
	if err != nil {
		return err
	}
	defer c.Close()
	var raw json.RawMessage
	if params == nil {
		params = map[string]any{}
	}
	if err := c.Do(method, params, &raw, s.Within); err != nil {
		return err
	}
	if s.JSON || show == nil {
		var b bytes.Buffer
		if err := json.Indent(&b, raw, "", "  "); err != nil {
			return err
		}
		fmt.Println(b.String())
		return nil
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return err
	}
	show()
	return nil
}

func printTable(header string, printRows func(w *tabwriter.Writer)) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	printRows(w)
	w.Flush()
}

type statusCmd struct{ operatorClient }

func (s *statusCmd) Run() error {
	var x controller.Status
	return s.request("status", nil, &x, func() {
		state := "serving"
		if x.Draining {
			state = "draining"
		}
		fmt.Printf("%s (process %d): %s, %d calls in hand\n", x.Name, x.PID, state, x.InFlight)
		a := x.Answers
		fmt.Printf("served %d, refused %d, failed %d, gone %d, left %d, turned away %d\n",
			a["served"], a["refused"], a["failed"], a["gone"], a["left"], a["turned"])
		fmt.Printf("a step takes %.1f us, the module crashed %d times\n", x.MeanStepMicros, x.ModuleCrashes)
		if h := x.Hooks; h != nil {
			fmt.Printf("hooks: %d inline of %d ns, %d aside of %d ns, %d faults; events: %d, dropped %d; "+
				"calls refused %d, let pass over the bound %d\n",
				h["inline"], h["inline_ns"], h["aside"], h["aside_ns"], h["faults"], h["posted"], h["dropped"],
				h["refusals"], h["over"])
		}
	})
}

type workersCmd struct{ operatorClient }

func (s *workersCmd) Run() error {
	var l []gateway.WorkerView
	return s.request("workers", nil, &l, func() {
		printTable("WORKER\tSTATE\tTOKENS\tIN USE\tLOADS\tFUNCTIONS\tHEARD\tNOTES", func(w *tabwriter.Writer) {
			for _, x := range l {
				heard := "never"
				if x.SinceLastResponse >= 0 {
					heard = x.SinceLastResponse.Round(time.Millisecond).String() + " ago"
				}
				state := map[bool]string{true: "ready", false: "draining"}[x.State == 1]
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%d\t%d\t%s\t%s\n", x.Name, state, x.Snapshot.Tokens, x.Snapshot.TokensInUse,
					x.Snapshot.AwaitingLoad, x.Copies, heard, strings.Join(workerNotes(x.Snapshot), ", "))
			}
		})
	})
}

func workerNotes(s scheduler.Snapshot) (notes []string) {
	for _, note := range []struct {
		applies bool
		text    string
	}{
		{s.WarmingUp, "cold"},
		{s.Ejected, "ejected"},
		{s.Rank > 0, "preferred"},
		{s.Rank < 0, "avoided"},
	} {
		if note.applies {
			notes = append(notes, note.text)
		}
	}
	return notes
}

type functionsCmd struct{ operatorClient }

func (s *functionsCmd) Run() error {
	var l []gateway.FunctionView
	return s.request("functions", nil, &l, func() {
		printTable("FUNCTION\tHOME\tWAITING\tOUT\tRUN\tGAP\tCOPIES\tNOTES", func(w *tabwriter.Writer) {
			for _, x := range l {
				note := ""
				if x.Desired {
					note = "kept warm by advice"
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%d\t%s\n", x.Name, x.Home, x.Queued, x.InFlight,
					x.MeanRunTime.Round(time.Millisecond), x.MeanInterarrival.Round(time.Millisecond), x.Copies, note)
			}
		})
	})
}

type hooksCmd struct{ operatorClient }

func (s *hooksCmd) Run() error {
	var o hookengine.Overview
	return s.request("hooks", nil, &o, func() {
		printTable("SCRIPT\tSTATUS\tVERSION\tSHADOW\tRUNS\tFAULTS\tLAST FAULT", func(w *tabwriter.Writer) {
			for _, x := range o.Scripts {
				shadow := "-"
				if x.ShadowStats != nil {
					shadow = fmt.Sprintf("%d: %d runs, %d differ, %d faults",
						x.Shadow, x.ShadowStats.Runs, x.ShadowStats.Mismatches, x.ShadowStats.Faults)
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%s\n",
					x.Name, x.Status, x.Live, shadow, x.LiveStats.Runs, x.LiveStats.Faults, x.LastFault)
			}
		})
		for _, t := range o.AdviceInForce {
			fmt.Println("stands:", t)
		}
		fmt.Printf("events: %d, dropped %d, waiting %d; advice taken %d, set aside %d; "+
			"calls refused %d, let pass over the bound %d\n",
			o.Posted, o.Dropped, o.QueueLength, o.AdviceAccepted, o.AdviceSuppressed, o.CallsRejected, o.OverRejectionLimit)
	})
}

type drainCmd struct{ operatorClient }

func (s *drainCmd) Run() error { return s.request("drain", nil, nil, nil) }

type explainCmd struct {
	operatorClient
	ID string `arg:"" help:"The call's id: its webhook-id, or name:id of the second front."`
}

func (s *explainCmd) Run() error {
	var x gateway.Explanation
	return s.request("explain", map[string]string{"id": s.ID}, &x, func() {
		outcome := "in hand"
		if x.Answer != "" {
			outcome = x.Answer
		}
		fmt.Printf("%s: %s, %s after %.1f ms\n", x.ID, x.Function, outcome, x.TookMS)
		for _, l := range x.Lines {
			fmt.Println(" ", l)
		}
	})
}

type callCmd struct {
	operatorClient
	Function string `arg:"" help:"Name of a function, or model@alias."`
	Body     string `default:"{}" help:"The body, as JSON."`
	Key      string `help:"Of a keyed class: a repeat with the same key does not run twice."`
	Wait     time.Duration
}

func (s *callCmd) Run() error {
	if !json.Valid([]byte(s.Body)) {
		return errors.New("--body is not JSON")
	}
	p := map[string]any{"function": s.Function, "body": json.RawMessage(s.Body), "wait_ms": s.Wait.Milliseconds()}
	if s.Key != "" {
		p["key"] = s.Key
	}
	return s.request("call", p, nil, nil)
}

type watchCmd struct {
	operatorClient
	Topics []string `arg:"" optional:"" help:"ended, joined, left, load_refused, moved, level; all if none is named."`
	For    time.Duration
}

func (s *watchCmd) Run() error {
	c, err := jsonrpc.Dial(s.Socket, s.Within)
	if err != nil {
		return err
	}
	defer c.Close()
	if len(s.Topics) == 0 {
		s.Topics = []string{"ended", "joined", "left", "load_refused", "moved", "level"}
	}
	c.OnNotification = func(method string, params json.RawMessage) { fmt.Printf("%s %s\n", method, params) }
	if err := c.Do("subscribe", map[string]any{"topics": s.Topics}, nil, s.Within); err != nil {
		return err
	}
	return c.Listen(s.For)
}
