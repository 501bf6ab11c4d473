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

// probeDialTimeouts is the timeout of a probe, as a multiple of the dial timeout.
const probeDialTimeouts = 3

// unixPrefix marks the address of a Unix socket.
const unixPrefix = "unix:"

// webhook maps the settings of the ingress for signed calls.
func (b *builder) webhook() {
	w := b.cfg.Webhook
	out := b.result
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

// backend maps the settings of the connections to workers. It runs after settings, whose result it
// uses.
func (b *builder) backend() {
	c := b.cfg
	dialTimeout := ms(c.Limits.DialMs)
	b.result.Backend = backend.Config{
		Controller:   c.Name,
		DialTimeout:  dialTimeout,
		IdleTimeout:  ms(c.Limits.KeepAliveMs),
		OrderTimeout: ms(c.Loading.AnswerMs),
		ProbeTimeout: probeDialTimeouts * dialTimeout,
		ReportFields: b.result.Settings.LoadReportFields,
	}
	if dialTimeout > ms(c.Guarantees.DrainGraceMs) {
		b.result.Warnings = append(b.result.Warnings, "limits.dial_ms is over guarantees.drain_grace_ms: "+
			"an attempt that is still dialing when its worker starts to drain is withdrawn late")
	}
}

// discovery maps the settings of the source of the endpoint list.
func (b *builder) discovery() {
	d := b.cfg.Discovery
	if (d.File == "") == (d.Server == "") {
		b.file.AddProblem("discovery", "exactly one of file and server must be set", "set one of them")
	}
	poll := ms(d.PollMs)
	if d.File != "" && poll <= 0 {
		b.file.AddProblem("discovery.poll_ms", "a file is watched by polling", "set the polling interval")
	}
	b.result.Discovery = discovery.Config{
		Node:         b.cfg.Name,
		Cluster:      d.Cluster,
		File:         d.File,
		Server:       d.Server,
		PollInterval: poll,
		CacheFile:    filepath.Join(b.cfg.StateDir, "workers.json"),
	}
}
