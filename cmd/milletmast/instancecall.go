package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// callTimeout is how long a command waits for the response of a running instance.
const callTimeout = 2 * time.Second

// withCallTimeout returns a context for one call of a running instance, which an interrupt ends too.
func withCallTimeout(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx, stop := untilTerminated(cmd.Context())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	return ctx, func() { cancel(); stop() }
}

// newTable returns a writer that aligns columns that are separated by tabs.
func newTable(w io.Writer) *tabwriter.Writer {
	const columnSeparation = 2
	return tabwriter.NewWriter(w, 0, 0, columnSeparation, ' ', 0)
}

// printJSON prints a message of the control API on one line.
func printJSON(w io.Writer, message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}
