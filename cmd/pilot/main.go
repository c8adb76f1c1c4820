// Command pilot is the proxy: one beside every endpoint. It carries the traffic.
package main

import (
	"os"

	"whinknot/internal/pilot"
	"whinknot/internal/shore"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and gives its exit code.
func run(args []string) int { return shore.Execute("pilot", args, pilot.New, asking()...) }
