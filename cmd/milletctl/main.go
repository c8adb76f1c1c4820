// Command milletctl manages many instances through their agents. What it tells of an instance is what the instance has
// said itself, with the age of that word. See docs/operate/fleet.md.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	err := command().Execute()
	var code exitCode
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "milletctl:", err)
		os.Exit(1)
	}
}
