// Command proxy is the data-plane proxy, one beside every endpoint. It forwards the requests between services.
package main

import (
	"os"

	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/proxy"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and returns its exit code.
func run(args []string) int { return process.Execute("proxy", args, proxy.New, queryCommands()...) }
