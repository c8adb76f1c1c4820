package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/spf13/cobra"
)

// emulatorProgram is the program that simulates fleets in virtual time and plans their size. It is a separate program, as the libraries
// that it links would take another 7 MB of the sidecar's memory.
const emulatorProgram = "milletemu"

// emulatorCommand returns a subcommand that replaces this process by the emulator in the same directory. The emulator gets leadingArgs and
// then the arguments of the subcommand.
func emulatorCommand(name, short string, leadingArgs ...string) *cobra.Command {
	return &cobra.Command{
		Use: name, Short: short, DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), emulatorProgram)
			err = syscall.Exec(path, slices.Concat([]string{emulatorProgram}, leadingArgs, args), os.Environ())
			if errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("%s does not exist: go build -o bin/ ./cmd/... builds it beside this program", path)
			}
			return fmt.Errorf("%s: %w", path, err)
		},
	}
}
