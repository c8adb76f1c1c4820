package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// emulator is the program that plays and plans fleets. It is one of its own: with what it links the sidecar's would hold 7 MB more of
// its file in memory.
const emulator = "milletemu"

// besideCommand hands a subcommand over to the program beside this one, which takes the place of this process.
func besideCommand(name, short string, before ...string) *cobra.Command {
	return &cobra.Command{
		Use: name, Short: short, DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), emulator)
			err = syscall.Exec(path, append(append([]string{emulator}, before...), args...), os.Environ())
			if errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("%s is not there: build it beside this program with go build -o bin/ ./cmd/...", path)
			}
			return fmt.Errorf("%s: %w", path, err)
		},
	}
}
