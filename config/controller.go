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

// A ControllerConfig is a checked configuration in the forms that the parts of a controller take. Configurations of running parts
// are without what only a running controller has: its gateway, clock and log.
type ControllerConfig struct {
	Name      string
	Seed      uint64
	Settings  scheduler.Settings
	Functions []gateway.FunctionSpec
	// Peers are the addresses of the other controllers by index.
	Peers map[int]string

	// Network and Listen are where calls come in, as for net.Listen.
	Network string
	Listen  string
	Webhook webhook.Config
	Clients []webhook.Client
	HTTP    http1.Limits
	// MaxConnections bounds the connections of clients.
	MaxConnections int
	// Secrets are the effective texts of all shared keys, for checks across controllers. They must never be shown.
	Secrets []string
	// WatermarkFile is the file of the replay guard's watermark. Its folder is the state folder.
	WatermarkFile string

	Backend   backend.Config
	Discovery discovery.Config

	// RegistryAddr is host and port of the registry of models; "": none.
	RegistryAddr string
	// RegistryKey is this controller's key there.
	RegistryKey *signing.Key

	// Hooks configures the scripts; nil: none.
	Hooks *hookengine.Config
	// Scripts are the files of scripts, read when the controller starts and on each reload.
	Scripts []*HookFile
	// Targets are where scripts may send notifications.
	Targets []hookengine.Target

	// RPC configures the ingress for operators and local callers; nil: none.
	RPC *jsonrpc.Config
	// RPCSocket is the path of its Unix socket, RPCSocketMode the socket's permissions.
	RPCSocket     string
	RPCSocketMode os.FileMode
	// MaxExplanations is how many answered calls can be explained.
	MaxExplanations int

	// Daemon is what the process owes to its surroundings; nil: nothing.
	Daemon *Daemon
	// StopTimeout is how long a graceful shutdown waits for calls in flight.
	StopTimeout time.Duration

	LogLevel zerolog.Level
	// OmitRequestLog leaves out the log line of each request.
	OmitRequestLog bool

	// Warnings are not errors: what they name works, but perhaps not as meant.
	Warnings []string
}
