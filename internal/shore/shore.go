// Package shore is what every process of the mesh does alike: its log, its settings file that is read again when it has
// changed, its end, and the places of the programs' own ports.
package shore

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"whinknot/internal/berth"
)

// The places of the programs among the ports for the system's own talk.
const (
	LighthousePort = iota
	KeeperPort
	PilotPort
)

const lookEvery = 500 * time.Millisecond

// newLog makes a log of one line of key=value pairs an event.
func newLog(to io.Writer, program, node string) zerolog.Logger {
	plain := func(i any) string {
		if text, ok := i.([]byte); ok { // zerolog hands truths and lists over as their text
			return string(text)
		}
		return fmt.Sprint(i)
	}
	w := zerolog.ConsoleWriter{
		Out: to, NoColor: true, TimeFormat: time.RFC3339Nano,
		FormatTimestamp:  func(i any) string { return "time=" + plain(i) },
		FormatLevel:      func(i any) string { return "level=" + plain(i) },
		FormatMessage:    func(i any) string { return "event=" + quoted(plain(i)) },
		FormatFieldName:  func(i any) string { return plain(i) + "=" },
		FormatFieldValue: func(i any) string { return quoted(plain(i)) },
	}
	return zerolog.New(w).With().Timestamp().Str("program", program).Str("node", node).Logger()
}

// quoted is a value as one word.
func quoted(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\n\r\"=") {
		return fmt.Sprintf("%q", strings.Trim(s, `"`))
	}
	return s
}

// follow reads the settings again when a hangup was heard and when the file has changed, until ctx ends. What cannot be used is told
// and changes nothing.
func follow(ctx context.Context, hup <-chan os.Signal, s *berth.Settings, log zerolog.Logger, changed func(*berth.Settings)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := stat(s.Path)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-tick.C:
		}
		now := stat(s.Path)
		if now == last && !asked {
			continue
		}
		last = now
		next, err := berth.LoadFile(s.Path)
		if err != nil {
			log.Error().Err(err).Msg("settings kept")
			continue
		}
		log.Info().Str("path", s.Path).Msg("settings read")
		changed(next)
	}
}

type seen struct {
	at   time.Time
	size int64
}

func stat(path string) seen {
	info, err := os.Stat(path)
	if err != nil {
		return seen{}
	}
	return seen{info.ModTime(), info.Size()}
}
