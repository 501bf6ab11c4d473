package config

import (
	"fmt"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hookengine"
)

func (b *builder) daemon() {
	d := b.cfg.Daemon
	b.result.Daemon = d
	if d != nil && (d.Starts > 0) != (d.WithinMs > 0) {
		b.file.AddProblem("daemon.starts", "only one of starts and within_ms is set", "set both or neither")
	}
}

// hooks maps the scripts, the limits on their advice and the targets of their notifications.
func (b *builder) hooks() {
	h := b.cfg.Hooks
	if h == nil {
		return
	}
	b.result.Hooks = &hookengine.Config{
		Seed:      b.result.Seed,
		QueueSize: int(h.Queue),
		Advice: hookadvice.Settings{
			MaxFunctions:        int(h.Functions),
			MaxCopies:           int(h.Copies),
			MaxMemoryFraction:   h.MemoryShare,
			MaxDuration:         ms(h.LongestMs),
			MaxRankedFraction:   h.Workers,
			MaxWeight:           h.Weight,
			MaxRejectedFraction: h.Refuse,
			CallLimit:           int(b.cfg.Limits.Open),
		},
	}
	if h.Weight != 0 && h.Weight < 1 {
		b.file.AddProblem("hooks.weight", fmt.Sprintf("%v is below 1", h.Weight),
			"weights range from 1/weight to weight")
	}
	names := map[string]bool{}
	for i, script := range h.Scripts {
		if names[script.Name] {
			b.file.AddProblem(fmt.Sprintf("hooks.scripts[%d].name", i), fmt.Sprintf("duplicate name %q", script.Name),
				"names must be unique")
		}
		names[script.Name] = true
	}
	b.result.Scripts = h.Scripts
	b.notificationTargets(h.Targets)
}

func (b *builder) notificationTargets(targets []*NotifyTarget) {
	names := map[string]bool{}
	for i, t := range targets {
		field := fmt.Sprintf("hooks.targets[%d]", i)
		if names[t.Name] {
			b.file.AddProblem(field+".name", fmt.Sprintf("duplicate name %q", t.Name), "names must be unique")
		}
		names[t.Name] = true
		b.result.Targets = append(b.result.Targets, hookengine.Target{
			Name:    t.Name,
			Address: t.Address,
			Path:    t.Path,
			Key:     b.signingKey(field+".key", t.Key),
		})
	}
}
