package main

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"milletmast/internal/pki"
)

// pkiCommand are the subcommands that make certificates for trying out.
func pkiCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{Use: "pki", Short: "Make a small certificate authority for trying out"}
	cmd.PersistentFlags().StringVar(&dir, "dir", "pki", "the folder that holds it")
	done := func(cmd *cobra.Command, name string, err error) error {
		if err == nil {
			fmt.Fprintln(cmd.OutOrStdout(), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
		}
		return err
	}
	var role string
	client := &cobra.Command{
		Use: "client NAME", Short: "Make a certificate for a person or tool", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if role != "read" && role != "operate" {
				return fmt.Errorf("--role %q: read or operate", role)
			}
			return done(cmd, args[0], pki.Client(dir, args[0], role))
		},
	}
	client.Flags().StringVar(&role, "role", "read", "read or operate")
	cmd.AddCommand(&cobra.Command{
		Use: "init", Short: "Make the CA", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return done(cmd, "ca", pki.Init(dir)) },
	}, &cobra.Command{
		Use: "agent NAME", Short: "Make a certificate for an agent; tools check its name", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return done(cmd, args[0], pki.Agent(dir, args[0])) },
	}, client)
	return cmd
}
