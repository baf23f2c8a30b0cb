// Command oriolevalve-soak runs hosts as processes on loopback, injects faults
// and checks what clients and targets see.
package main

import (
	"context"
	"os"

	"oriolevalve/platform/soak"
)

func main() { os.Exit(soak.Command(context.Background(), os.Args, os.Stdout, os.Stderr)) }
