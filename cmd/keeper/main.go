// Command keeper is the store of configuration, on core machines, with the disk.
package main

import (
	"os"

	"whinknot/internal/keeper"
	"whinknot/internal/shore"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and gives its exit code.
func run(args []string) int { return shore.Execute("keeper", args, keeper.New, asking()...) }
