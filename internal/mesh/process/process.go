// Package process contains what the processes of the mesh have in common: the event loop, signals,
// logging, the settings file and its reload, status queries, and the ports of the programs.
package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"milletmast/internal/mesh/nodeconfig"
)

// The indexes of the programs' ports in the port range that the platform assigns to the system.
const (
	ControlPlanePort = iota
	ConfigStorePort
	ProxyPort
)

const settingsPollInterval = 500 * time.Millisecond

// newLogger returns a logger that writes one line of key=value pairs for each event.
func newLogger(to io.Writer, program, node string) zerolog.Logger {
	toText := func(i any) string {
		if text, ok := i.([]byte); ok { // zerolog passes booleans and lists as text
			return string(text)
		}
		return fmt.Sprint(i)
	}
	w := zerolog.ConsoleWriter{
		Out: to, NoColor: true, TimeFormat: time.RFC3339Nano,
		FormatTimestamp:  func(i any) string { return "time=" + toText(i) },
		FormatLevel:      func(i any) string { return "level=" + toText(i) },
		FormatMessage:    func(i any) string { return "event=" + quoteValue(toText(i)) },
		FormatFieldName:  func(i any) string { return toText(i) + "=" },
		FormatFieldValue: func(i any) string { return quoteValue(toText(i)) },
	}
	return zerolog.New(w).With().Timestamp().Str("program", program).Str("node", node).Logger()
}

// quoteValue quotes a value that is empty or that contains spaces, quotes or equals signs.
func quoteValue(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\n\r\"=") {
		return fmt.Sprintf("%q", strings.Trim(s, `"`))
	}
	return s
}

// watchSettings reads the settings file again after a hangup and when it has changed, until ctx
// ends. An invalid file is logged and ignored.
func watchSettings(
	ctx context.Context,
	hup <-chan os.Signal,
	s *nodeconfig.Settings,
	log zerolog.Logger,
	onChange func(*nodeconfig.Settings),
) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := readFileStamp(s.Path)
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			requested = true
		case <-tick.C:
		}
		now := readFileStamp(s.Path)
		if now == last && !requested {
			continue
		}
		last = now
		next, err := nodeconfig.LoadFile(s.Path)
		if err != nil {
			log.Error().Err(err).Msg("reject settings")
			continue
		}
		log.Info().Str("path", s.Path).Msg("reload settings")
		onChange(next)
	}
}

// fileStamp identifies a version of a file. The zero value is that of a file that cannot be read.
type fileStamp struct {
	modifiedAt time.Time
	size       int64
}

func readFileStamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
