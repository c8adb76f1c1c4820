// Command milletmast is a sidecar: it accepts requests over HTTP, and a decision module chooses the server of each. Without
// arguments and with RELAY_CONFIG set it runs as a sidecar of the platform; its subcommands work with an operator file.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitFailure = 1
	exitDropped = 3 // import has dropped a directive
)

func main() {
	var err error
	if len(os.Args) == 1 && os.Getenv(configVariable) != "" {
		err = runPlatform()
	} else {
		err = rootCommand().Execute()
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "milletmast:", err)
	if errors.Is(err, errDropped) {
		os.Exit(exitDropped)
	}
	os.Exit(exitFailure)
}
