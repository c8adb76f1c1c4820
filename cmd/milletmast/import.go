package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"milletmast/internal/nginx"
	"milletmast/internal/operator"
)

// errDropped is returned by an import that could not convert everything. The exit status is exitDropped.
var errDropped = errors.New("not everything was carried over")

func importCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "import", Short: "Convert the configuration of another proxy to an operator file", Args: cobra.NoArgs}
	cmd.AddCommand(importNginxCommand())
	return cmd
}

func importNginxCommand() *cobra.Command {
	var conversion nginxImport
	cmd := &cobra.Command{
		Use:   "nginx FILE [-o OUT.toml] [--report REPORT.json] [--strict]",
		Short: "Convert upstream, server and location blocks of nginx to an operator file, and report what differs or was dropped",
		Long: `Reads an nginx configuration, or a part of one, and the files that it includes. Writes an operator file to OUT or to standard
output, and to standard error a table of all directives that differ or were dropped, with totals. Exit status: 0 if every directive
was converted, possibly with a difference that the table lists; 3 if a directive was dropped; 1 on an error.`,
		Example: "  milletmast import nginx /etc/nginx/nginx.conf -o shop.toml --report shop.json\n  milletmast check -f shop.toml",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return conversion.run(cmd, args[0]) },
	}
	cmd.Flags().StringVarP(&conversion.outPath, "output", "o", "", "the operator file to write (default: standard output)")
	cmd.Flags().StringVar(&conversion.reportPath, "report", "", "a file for the report of every directive, in JSON")
	cmd.Flags().BoolVar(&conversion.strict, "strict", false, "write no operator file if anything was dropped")
	return cmd
}

// nginxImport holds the flags of import nginx.
type nginxImport struct {
	outPath    string // of the operator file; "" for standard output
	reportPath string // of the JSON report; "" for none
	strict     bool   // whether to write no operator file if anything was dropped
}

// run converts an nginx configuration, and reports what differs or was dropped.
func (n *nginxImport) run(cmd *cobra.Command, nginxPath string) error {
	source, err := nginx.Load(nginxPath)
	if err != nil {
		return err
	}
	text, report := nginx.Import(source)
	if _, err := operator.Parse(cmp.Or(n.outPath, "import.toml"), []byte(text)); err != nil { // an invalid file is not written
		fmt.Fprintln(cmd.ErrOrStderr(), err)
		return fmt.Errorf("%s: the result of its conversion is not a valid operator file", nginxPath)
	}
	if err := report.Table(cmd.ErrOrStderr()); err != nil {
		return err
	}
	if n.reportPath != "" {
		if err := replaceFile(n.reportPath, func(file *os.File) error { return report.JSON(file) }); err != nil {
			return err
		}
	}
	dropped := report.Totals[nginx.Dropped]
	if n.strict && dropped > 0 {
		return fmt.Errorf("%w: %d directives dropped, nothing written", errDropped, dropped)
	}
	if err := n.writeOperatorFile(cmd.OutOrStdout(), text); err != nil {
		return err
	}
	if dropped > 0 {
		return fmt.Errorf("%w: %d directives dropped", errDropped, dropped)
	}
	return nil
}

// writeOperatorFile writes the operator file to outPath or to standard output.
func (n *nginxImport) writeOperatorFile(stdout io.Writer, text string) error {
	if n.outPath == "" {
		_, err := io.WriteString(stdout, text)
		return err
	}
	return replaceFile(n.outPath, func(file *os.File) error {
		_, err := file.WriteString(text)
		return err
	})
}

// replaceFile replaces a file atomically, by a rename.
func replaceFile(path string, write func(*os.File) error) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // without effect after the rename
	if err := errors.Join(write(file), file.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.Rename(file.Name(), path)
}
