package main

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"milletmast/internal/pki"
)

// pkiCommand returns the subcommands that create certificates for trials.
func pkiCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{Use: "pki", Short: "Create a certificate authority and certificates for trials"}
	cmd.PersistentFlags().StringVar(&dir, "dir", "pki", "the directory of the certificates")
	printPaths := func(cmd *cobra.Command, name string, err error) error {
		if err == nil {
			fmt.Fprintln(cmd.OutOrStdout(), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
		}
		return err
	}
	var role string
	client := &cobra.Command{
		Use: "client NAME", Short: "Create a client certificate for an operator or a tool", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if role != "read" && role != "operate" {
				return fmt.Errorf("--role %q must be read or operate", role)
			}
			return printPaths(cmd, args[0], pki.Client(dir, args[0], role))
		},
	}
	client.Flags().StringVar(&role, "role", "read", "read or operate")
	cmd.AddCommand(&cobra.Command{
		Use: "init", Short: "Create the CA", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return printPaths(cmd, "ca", pki.Init(dir)) },
	}, &cobra.Command{
		Use: "agent NAME", Short: "Create a server certificate for an agent; milletctl checks its name", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printPaths(cmd, args[0], pki.Agent(dir, args[0]))
		},
	}, client)
	return cmd
}
