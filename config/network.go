package config

import (
	"path/filepath"
	"strings"

	"kitehub/internal/backend"
	"kitehub/internal/discovery"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
)

// probeDials is how many dial time-outs a health check may take.
const probeDials = 3

// unixPrefix begins the address of a Unix socket.
const unixPrefix = "unix:"

// webhook maps the ingress for signed calls.
func (b *builder) webhook() {
	w := b.cfg.Webhook
	out := b.built
	out.Network = "tcp"
	out.Listen = w.Listen
	if path, ok := strings.CutPrefix(w.Listen, unixPrefix); ok {
		out.Network = "unix"
		out.Listen = path
	}
	out.MaxConnections = int(w.MaxConnections)
	out.HTTP = http1.Limits{
		MaxBodyBytes:     int(w.MaxBody),
		FirstByteTimeout: ms(w.FirstByteMs),
		HeadTimeout:      ms(w.HeadMs),
		BodyTimeout:      ms(w.BodyMs),
		IdleTimeout:      ms(w.IdleMs),
	}
	source := webhook.FromPath
	if w.FunctionField != "" {
		source = webhook.FromBody
	}
	out.Webhook = webhook.Config{
		Prefix:         w.Prefix,
		FunctionSource: source,
		FunctionField:  w.FunctionField,
		Replay: replayguard.Settings{
			MaxAge:         ms(w.PastMs),
			MaxClockSkew:   ms(w.FutureMs),
			WatermarkStep:  ms(w.AheadMs),
			MaxEntries:     int(w.Remembered),
			MaxAnswerBytes: int(w.KeptBytes),
		},
	}
}

// backend maps what connects to workers. It needs the settings.
func (b *builder) backend() {
	c := b.cfg
	dialTimeout := ms(c.Limits.DialMs)
	b.built.Backend = backend.Config{
		Controller:   c.Name,
		DialTimeout:  dialTimeout,
		IdleTimeout:  ms(c.Limits.KeepAliveMs),
		OrderTimeout: ms(c.Loading.AnswerMs),
		ProbeTimeout: probeDials * dialTimeout,
		ReportFields: b.built.Settings.LoadReportFields,
	}
	if dialTimeout > ms(c.Guarantees.DrainGraceMs) {
		b.built.Warnings = append(b.built.Warnings, "limits.dial_ms is over guarantees.drain_grace_ms: "+
			"what still dials when a drain is told is withdrawn, late")
	}
}

// discovery maps where the endpoint list comes from.
func (b *builder) discovery() {
	d := b.cfg.Discovery
	if (d.File == "") == (d.Server == "") {
		b.file.AddProblem("discovery", "not exactly one of file and server", "give one")
	}
	poll := ms(d.PollMs)
	if d.File != "" && poll <= 0 {
		b.file.AddProblem("discovery.poll_ms", "a file is watched by looking at it", "give the time between two looks")
	}
	b.built.Discovery = discovery.Config{
		Node:         b.cfg.Name,
		Cluster:      d.Cluster,
		File:         d.File,
		Server:       d.Server,
		PollInterval: poll,
		CacheFile:    filepath.Join(b.cfg.StateDir, "workers.json"),
	}
}
