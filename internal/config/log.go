package config

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
)

// Log configures logging.
type Log struct {
	Level slog.Level
	JSON  bool // one JSON object per line instead of text
}

// Logger returns a logger that writes to w.
func (l Log) Logger(w io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: l.Level}
	if l.JSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// logFromEnv reads the log level from ASHWOOD_LOG.
func logFromEnv(getenv func(string) string) (l Log, err error) {
	if level := getenv("ASHWOOD_LOG"); level != "" {
		if err := l.Level.UnmarshalText([]byte(level)); err != nil {
			return l, fmt.Errorf("config: ASHWOOD_LOG: %w", err)
		}
	}
	return l, nil
}

// applyTable applies the log table of an operator's file. The environment's level stays if the
// file sets none.
func (l *Log) applyTable(level, form string) error {
	if level != "" {
		if err := l.Level.UnmarshalText([]byte(level)); err != nil {
			return fmt.Errorf("config: log.level: %w", err)
		}
	}
	switch cmp.Or(form, "text") {
	case "text":
	case "json":
		l.JSON = true
	default:
		return fmt.Errorf("config: log.form: %q is neither text nor json", form)
	}
	return nil
}
