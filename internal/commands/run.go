package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap/zapcore"

	"oriolevalve/internal/host"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/settings"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run an entry host until SIGTERM, then stop it gracefully",
		UsageText: "oriolevalve run --settings examples/host-1.json\n\n" +
			"A second SIGTERM or SIGINT ends a graceful stop at once with exit code 1.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "file with the host's settings", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.LoadHost(c.String("settings"))
			if err != nil {
				return cli.Exit(err, ExitUsage)
			}
			var dropped logs.Dropped
			log, err := logs.New(zapcore.Lock(os.Stderr), s.LogLevel, s.HostID, dropped.Add)
			if err != nil {
				return cli.Exit(err, ExitUsage)
			}
			stop, abort := onSignals(ctx)
			if err := host.Run(stop, abort, s, host.WithLog(log), host.WithDroppedLines(&dropped)); err != nil {
				return cli.Exit(err, ExitError)
			}
			return nil
		},
	}
}

// onSignals returns a context that ends with the first signal to stop, and one
// that ends with the second.
func onSignals(ctx context.Context) (stop, abort context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, first := context.WithCancel(ctx)
	abort, second := context.WithCancel(ctx)
	go func() {
		<-signals
		first()
		<-signals
		second()
	}()
	return stop, abort
}
