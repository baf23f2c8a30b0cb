// Command oriolevalve-node runs a host that forwards packets.
package main

import (
	"context"
	"os"

	"oriolevalve/platform"
)

func main() { os.Exit(platform.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
