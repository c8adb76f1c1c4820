// Command milletctl manages many instances through their agents. What it prints of an instance is that instance's latest
// report, with its age. See docs/operate/fleet.md.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	err := rootCommand().Execute()
	var code exitError
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "milletctl:", err)
		os.Exit(1)
	}
}
