// Command configstore is the replicated configuration store, on core machines. It stores its state on disk.
package main

import (
	"os"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/process"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and returns its exit code.
func run(args []string) int {
	return process.Execute("configstore", args, configstore.New, queryCommands()...)
}
