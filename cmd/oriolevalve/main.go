// Command oriolevalve runs entry hosts of the load balancer and manages them.
package main

import (
	"context"
	"os"

	"oriolevalve/internal/commands"
	"oriolevalve/platform"
)

func main() {
	os.Exit(commands.Run(context.Background(), os.Args, os.Stdout, os.Stderr,
		commands.WithConfigurationReader(platform.ReadConfiguration)))
}
