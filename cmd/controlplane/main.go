// Command controlplane is the control plane, on core machines: service registry, discovery for the proxies, and the control API.
package main

import (
	"os"

	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/mesh/process"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and returns its exit code.
func run(args []string) int {
	return process.Execute("controlplane", args, controlplane.New, queryCommands()...)
}
