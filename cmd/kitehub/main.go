// Kitehub is a gateway that runs calls on workers, which load functions on demand.
//
// Exit status 0: success; 1: failure; 2: invalid command line or configuration.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"kitehub/config"
	"kitehub/internal/relay"
)

var cli struct {
	Serve    serveCmd    `cmd:"" help:"Run one controller until SIGTERM."`
	Relay    relayCmd    `cmd:"" help:"Run one controller on a platform that configures by RELAY_* and JSON, until SIGTERM."`
	Demo     demoCmd     `cmd:"" help:"Play a bad day on loopback: controllers, stand-in workers and signed clients. Exit 0 only if all five rules were kept."`
	Day      dayCmd      `cmd:"" help:"Scripted days of trouble."`
	Standin  standinCmd  `cmd:"" help:"Host stand-in workers on loopback, for trying things out."`
	Rules    rulesCmd    `cmd:"" help:"Judge the five rules from traces."`
	Config   configCmd   `cmd:"" help:"Configurations."`
	Key      keyCmd      `cmd:"" help:"Keys of webhooks."`
	Registry registryCmd `cmd:"" help:"Versions of models, and the aliases that name them."`
	Hook     hookCmd     `cmd:"" help:"Scripts that advise: check, format, test and try them, and load them into a running controller."`

	Status    statusCmd    `cmd:"" help:"A running controller at a glance."`
	Workers   workersCmd   `cmd:"" help:"Its workers, as it sees them."`
	Functions functionsCmd `cmd:"" help:"Its functions, as it sees them."`
	Hooks     hooksCmd     `cmd:"" help:"Its scripts, and what they advise that stands."`
	Drain     drainCmd     `cmd:"" help:"Have it take no further call."`
	Explain   explainCmd   `cmd:"" help:"Why a call went where it went."`
	Call      callCmd      `cmd:"" help:"Call a function by the second front."`
	Watch     watchCmd     `cmd:"" help:"Print events as they come."`
}

func main() {
	parser, err := kong.New(&cli, kong.Name("kitehub"), kong.UsageOnError(),
		kong.Description("A gateway that runs calls on workers, which load functions on demand."))
	if err != nil {
		panic(err) // a bug in the declarations above
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "kitehub:", err)
		os.Exit(2)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var p config.Problems
		if errors.As(err, &p) || relay.IsConfigError(err) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
