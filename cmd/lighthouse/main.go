// Command lighthouse is the registry, on core machines: which endpoints and which pilots there are. It takes the outside calls.
package main

import (
	"os"

	"whinknot/internal/lighthouse"
	"whinknot/internal/shore"
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with arguments and gives its exit code.
func run(args []string) int { return shore.Execute("lighthouse", args, lighthouse.New, asking()...) }
