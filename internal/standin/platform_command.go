package standin

import (
	"context"
	"fmt"
	"net"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/standin/platform"

	"github.com/urfave/cli/v3"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the platform's object API from memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Value: "127.0.0.1:7400"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var configuration net.ListenConfig
			listener, err := configuration.Listen(ctx, "tcp", c.String("listen"))
			if err != nil {
				return cli.Exit(err, 1)
			}
			if _, err := fmt.Fprintf(c.Root().Writer, "listening on http://%s\n", listener.Addr()); err != nil {
				return err
			}
			if err := platform.New(clock.System{}).Serve(ctx, listener); err != nil {
				return cli.Exit(err, 1)
			}
			return nil
		},
	}
}
