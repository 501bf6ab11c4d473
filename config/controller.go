package config

import (
	"os"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/hookengine"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

// A ControllerConfig is the checked configuration of a controller, as the parts of a controller
// take it. It leaves unset what only a running controller has: its gateway, clock and log.
type ControllerConfig struct {
	Name      string
	Seed      uint64
	Settings  scheduler.Settings
	Functions []gateway.FunctionSpec
	// Peers are the addresses of the other controllers by index.
	Peers map[int]string

	// Network and Listen are the address of the webhook ingress, as for net.Listen.
	Network string
	Listen  string
	Webhook webhook.Config
	Clients []webhook.Client
	HTTP    http1.Limits
	// MaxConnections limits the connections of clients.
	MaxConnections int
	// Secrets are the texts of all shared keys, after derivation, for CheckConsistency. They must
	// never be printed.
	Secrets []string
	// WatermarkFile is the file of the replay guard's watermark. Its directory is the state
	// directory.
	WatermarkFile string

	Backend   backend.Config
	Discovery discovery.Config

	// RegistryAddr is the host and port of the model registry; "": none.
	RegistryAddr string
	// RegistryKey is the key with which this controller signs its requests to the registry.
	RegistryKey *signing.Key

	// Hooks configures the hooks; nil: no hooks.
	Hooks *hookengine.Config
	// Scripts are the script files, which are read when the controller starts and on each reload.
	Scripts []*HookFile
	// Targets are the receivers to which scripts may send notifications.
	Targets []hookengine.Target

	// RPC configures the JSON-RPC ingress for operators and local clients; nil: none.
	RPC *jsonrpc.Config
	// RPCSocket is the path of its Unix socket, and RPCSocketMode are the socket's permissions.
	RPCSocket     string
	RPCSocketMode os.FileMode
	// MaxExplanations is how many answered calls can still be explained.
	MaxExplanations int

	// Daemon configures the PID file, the handover to a successor and the detection of crash loops;
	// nil: none of these.
	Daemon *Daemon
	// StopTimeout is how long a graceful shutdown waits for calls in flight.
	StopTimeout time.Duration

	LogLevel zerolog.Level
	// OmitRequestLog turns off the log line of each request.
	OmitRequestLog bool

	// Warnings name settings that are valid, but that may not do what was meant.
	Warnings []string
}
