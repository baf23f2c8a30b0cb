// Command standins runs stand-ins for the systems around oriolevalve: the
// platform, targets, callers and the fabric.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"oriolevalve/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := standin.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
