package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
)

type registryCmd struct {
	Serve    registryServeCmd    `cmd:"" help:"Run the registry until SIGTERM."`
	Push     registryPushCmd     `cmd:"" help:"Make a version of a model known, by the digest of its bytes."`
	Stage    registryStageCmd    `cmd:"" help:"Promote once copies stand: the alias moves when they do, or not at all."`
	Promote  registryPromoteCmd  `cmd:"" help:"Move an alias to a version, and wait until no answer of the one before can go out."`
	Rollback registryRollbackCmd `cmd:"" help:"Give up a move that is staging, or move an alias back."`
	Condemn  registryCondemnCmd  `cmd:"" help:"Bar bytes for ever, under all names. Aliases that name them name nothing then."`
	Policy   registryPolicyCmd   `cmd:"" help:"Say whether a model's answers are better than none while a controller does not hear the registry."`
	List     registryListCmd     `cmd:"" help:"Models, versions, aliases and controllers."`
	History  registryHistoryCmd  `cmd:"" help:"Who moved what, when and why."`
	Move     registryMoveCmd     `cmd:"" help:"How far a move is."`
	Watch    registryWatchCmd    `cmd:"" help:"Print aliases as they change, until interrupted."`
	Gc       registryGcCmd       `cmd:"" help:"Forget versions that nothing names any more, and print their digests."`
	Export   registryExportCmd   `cmd:"" help:"Print versions and aliases as JSON."`
	Import   registryImportCmd   `cmd:"" help:"Read from standard input what export printed, into an empty registry."`
}

// registryClient holds the flags of commands that send a request to the registry.
type registryClient struct {
	Server  string        `required:"" env:"KITEHUB_REGISTRY" help:"host:port of the registry."`
	KeyFile string        `required:"" type:"existingfile" env:"KITEHUB_REGISTRY_KEY" help:"File with the operator's secret."`
	Key     string        `help:"Of the command: the same again does nothing anew. Drawn if not given."`
	Wait    time.Duration `default:"25s" help:"How long to wait for a move."`
	Why     string        `help:"For the history."`
}

func (r *registryClient) client() (*client.Client, error) {
	text, err := os.ReadFile(r.KeyFile)
	if err != nil {
		return nil, err
	}
	k, err := signing.ParseKey(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.KeyFile, err)
	}
	return &client.Client{Server: r.Server, Name: "operator", Key: k, Wall: time.Now}, nil
}

// sendCommand sends a command and prints its result. If it started a migration that is not complete
// yet, the error says how to query the migration.
func (r *registryClient) sendCommand(cmd wire.Command) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	defer c.Close()
	key := r.Key
	if key == "" {
		key = client.NewID("cli")
	}
	cmd.WaitMS = r.Wait.Milliseconds()
	a, err := c.Command(key, cmd)
	var status *client.StatusError
	if err != nil {
		if !errors.As(err, &status) || status.Status == 503 {
			return fmt.Errorf("%w\nthe command may have been applied: repeating it with --key %s is safe", err, key)
		}
		return err
	}
	if a.Replayed {
		fmt.Println("the key was used for this before: nothing was done anew")
	}
	for _, x := range a.Collected {
		fmt.Println(x.Model, x.Version, x.Digest)
	}
	switch {
	case a.Migration == 0:
		return nil
	case a.Status == "acknowledged":
		fmt.Printf("move %d is acknowledged\n", a.Migration)
		return nil
	case a.Status == "given up":
		return fmt.Errorf("move %d was given up: %s", a.Migration, a.Reason)
	}
	return stillInProgress(a)
}

// stillInProgress returns the error for a migration that has not ended within the wait.
func stillInProgress(a *wire.Response) error {
	status := a.Status
	if a.Reason != "" {
		status += " (" + a.Reason + ")"
	}
	return fmt.Errorf("move %d is still %s: query it again with kitehub registry move %d", a.Migration, status, a.Migration)
}

func (r *registryClient) query(q wire.Query) (*wire.Response, error) {
	c, err := r.client()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Query(q)
}

type registryPushCmd struct {
	registryClient
	Model    string        `arg:""`
	Version  string        `arg:""`
	Digest   string        `arg:"" help:"sha256: and 64 hexadecimal digits."`
	Size     int64         `help:"Bytes."`
	MemoryMB float64       `name:"memory-mb"`
	Lanes    int           ``
	Load     time.Duration `help:"How long a load takes."`
}

func (p *registryPushCmd) Run() error {
	return p.sendCommand(wire.Command{Push: &registry.Push{
		Model:  p.Model,
		Reason: p.Why,
		Version: registry.Version{
			Name:     p.Version,
			Digest:   p.Digest,
			Size:     p.Size,
			MemoryMB: p.MemoryMB,
			Lanes:    p.Lanes,
			LoadTime: p.Load,
		},
	}})
}

type registryPromoteCmd struct {
	registryClient
	Model      string `arg:""`
	Alias      string `arg:""`
	Version    string `arg:""`
	IfRevision uint64 `required:"" help:"Revision that the alias has; 0 makes it. kitehub registry list tells it."`
	Copies     int    `help:"Copies that must stand first."`
}

type registryStageCmd struct{ registryPromoteCmd }

func (p *registryStageCmd) Run() error {
	if p.Copies == 0 {
		return errors.New("--copies: set the number of copies that must be loaded first")
	}
	return p.registryPromoteCmd.Run()
}

func (p *registryPromoteCmd) Run() error {
	return p.sendCommand(wire.Command{Promote: &registry.Promote{
		Model:      p.Model,
		Alias:      p.Alias,
		To:         p.Version,
		IfRevision: p.IfRevision,
		Copies:     p.Copies,
		Reason:     p.Why,
	}})
}

type registryRollbackCmd struct {
	registryClient
	Model      string `arg:""`
	Alias      string `arg:""`
	IfRevision uint64 `required:"" help:"Revision that the alias has."`
}

func (p *registryRollbackCmd) Run() error {
	return p.sendCommand(wire.Command{Rollback: &registry.Rollback{
		Model:      p.Model,
		Alias:      p.Alias,
		IfRevision: p.IfRevision,
		Reason:     p.Why,
	}})
}

type registryCondemnCmd struct {
	registryClient
	Model   string `arg:""`
	Version string `arg:""`
}

func (p *registryCondemnCmd) Run() error {
	return p.sendCommand(wire.Command{Condemn: &registry.Condemn{Model: p.Model, Version: p.Version, Reason: p.Why}})
}

type registryPolicyCmd struct {
	registryClient
	Model string `arg:""`
	Stale string `arg:"" enum:"stale,fresh" help:"stale: an answer that may be of a version that was left is better than none. fresh: refuse."`
}

func (p *registryPolicyCmd) Run() error {
	return p.sendCommand(wire.Command{Policy: &registry.Policy{
		Model:      p.Model,
		AllowStale: p.Stale == "stale",
		Reason:     p.Why,
	}})
}

type registryGcCmd struct{ registryClient }

func (p *registryGcCmd) Run() error {
	return p.sendCommand(wire.Command{Collect: &registry.Collect{Reason: p.Why}})
}

type registryListCmd struct {
	registryClient
	Model string `arg:"" optional:""`
}

func (p *registryListCmd) Run() error {
	a, err := p.query(wire.Query{Kind: "list", Model: p.Model})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, text := range a.Models {
		var m registry.Model
		if err := json.Unmarshal(text, &m); err != nil {
			return err
		}
		if policy := policyText(&m); policy != "" {
			fmt.Fprintf(w, "policy\t%s\t%s\n", m.Name, policy)
		}
		for _, x := range sortedByName(m.Aliases) {
			migration := ""
			if x.Migration != nil && x.Migration.Fenced {
				migration = fmt.Sprintf("move %d waits for controllers", x.Migration.ID)
			} else if x.Migration != nil {
				migration = fmt.Sprintf("move %d to %s waits for copies", x.Migration.ID, x.Migration.To)
			}
			fmt.Fprintf(w, "alias\t%s\t%s\t%s\trevision %d\t%s\n", m.Name, x.Name, x.Version, x.Revision, migration)
		}
		for _, v := range sortedByName(m.Versions) {
			fmt.Fprintf(w, "version\t%s\t%s\t%s\t%s\t%d bytes\n", m.Name, v.Name, v.Phase, v.Digest, v.Size)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.Holders)) {
		fmt.Fprintf(w, "controller\t%s\tepoch %d of %d\n", name, a.Holders[name], a.Epoch)
	}
	for _, name := range slices.Sorted(maps.Keys(a.WithoutLease)) {
		remaining := time.Duration(a.WithoutLease[name]) * time.Millisecond
		fmt.Fprintf(w, "controller\t%s\tnot heard, may answer stale models for %v\n", name, remaining)
	}
	return w.Flush()
}

// policyText says whether a model permits answers without a lease; "" if it does not, which is the
// default.
func policyText(m *registry.Model) string {
	switch {
	case m.AllowStale:
		return "stale"
	case m.FreshEpoch > 0:
		return fmt.Sprintf("fresh since epoch %d, waits for controllers", m.FreshEpoch)
	}
	return ""
}

type registryHistoryCmd struct {
	registryClient
	Model string `arg:"" optional:""`
}

func (p *registryHistoryCmd) Run() error {
	a, err := p.query(wire.Query{Kind: "history", Model: p.Model})
	if err != nil {
		return err
	}
	for _, l := range a.History {
		fmt.Printf("%s  %s  %s  %s\n", l.At.UTC().Format(time.RFC3339), l.By, l.Action, l.Reason)
	}
	return nil
}

type registryMoveCmd struct {
	registryClient
	Move uint64 `arg:""`
}

func (p *registryMoveCmd) Run() error {
	a, err := p.query(wire.Query{Kind: "move", Migration: p.Move, WaitMS: p.Wait.Milliseconds()})
	if err != nil {
		return err
	}
	fmt.Println(strings.TrimSpace(a.Status + " " + a.Reason))
	return nil
}

type registryWatchCmd struct{ registryClient }

func (p *registryWatchCmd) Run() error {
	c, err := p.client()
	if err != nil {
		return err
	}
	defer c.Close()
	for since := uint64(0); ; {
		a, err := c.Query(wire.Query{Kind: "watch", Since: since, WaitMS: 20000})
		if err != nil {
			return err
		}
		for _, t := range a.Targets {
			fmt.Printf("epoch %d  %s %s  %s  revision %d\n", a.Epoch, t.Model, t.Alias, t.Version, t.Revision)
		}
		since = a.Epoch
	}
}

// exportedRegistry is the JSON that export prints and import reads: the versions, aliases and
// policies of a registry. Revisions are not part of it: they start over in the registry that
// imports it.
type exportedRegistry struct {
	Pushes  []registry.Push    `json:"Pushes"`
	Aliases []registry.Promote `json:"Aliases"`
	Stale   []string           `json:"Stale"`
}

type registryExportCmd struct{ registryClient }

func (p *registryExportCmd) Run() error {
	a, err := p.query(wire.Query{Kind: "export"})
	if err != nil {
		return err
	}
	var s registry.State
	if err := json.Unmarshal(a.State, &s); err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(export(&s))
}

// sortedByName returns the values of a map, sorted by their keys.
func sortedByName[V any](m map[string]V) (values []V) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}

// export returns the versions that are not condemned, the aliases that have a version, and the
// models that allow stale answers.
func export(s *registry.State) (e exportedRegistry) {
	for _, m := range sortedByName(s.Models) {
		for _, v := range sortedByName(m.Versions) {
			if v.Phase != registry.Condemned {
				e.Pushes = append(e.Pushes, registry.Push{
					Model: m.Name,
					Version: registry.Version{
						Name:     v.Name,
						Digest:   v.Digest,
						Size:     v.Size,
						MemoryMB: v.MemoryMB,
						Lanes:    v.Lanes,
						LoadTime: v.LoadTime,
					},
				})
			}
		}
		for _, x := range sortedByName(m.Aliases) {
			if x.Version != "" {
				e.Aliases = append(e.Aliases, registry.Promote{Model: m.Name, Alias: x.Name, To: x.Version})
			}
		}
		if m.AllowStale {
			e.Stale = append(e.Stale, m.Name)
		}
	}
	return e
}

type registryImportCmd struct{ registryClient }

func (p *registryImportCmd) Run() error {
	d := json.NewDecoder(os.Stdin)
	d.DisallowUnknownFields()
	var e exportedRegistry
	if err := d.Decode(&e); err != nil {
		return fmt.Errorf("standard input: %w", err)
	}
	key := p.Key
	if key == "" {
		key = client.NewID("import")
	}
	n := 0
	// Each part has a key of its own, so that an import that failed can be continued with --key.
	send := func(cmd wire.Command) error {
		n++
		p.Key = fmt.Sprintf("%s-%d", key, n)
		if err := p.sendCommand(cmd); err != nil {
			return fmt.Errorf("part %d: %w\ncontinue with --key %s", n, err, key)
		}
		return nil
	}
	for i := range e.Pushes {
		e.Pushes[i].Reason = p.Why
		if err := send(wire.Command{Push: &e.Pushes[i]}); err != nil {
			return err
		}
	}
	for _, m := range e.Stale {
		if err := send(wire.Command{Policy: &registry.Policy{Model: m, AllowStale: true, Reason: p.Why}}); err != nil {
			return err
		}
	}
	for i := range e.Aliases {
		e.Aliases[i].Reason = p.Why
		if err := send(wire.Command{Promote: &e.Aliases[i]}); err != nil {
			return err
		}
	}
	return nil
}
