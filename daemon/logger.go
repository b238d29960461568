package daemon

import (
	"io"
	"log/slog"

	"apricotrouter/config"
)

// NewLogger returns a logger that writes to w in the configured format and at
// the configured level. An unknown level, which Config validation rejects, is
// treated as info.
func NewLogger(c config.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		level = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: level}
	if c.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opts))
	}
	return slog.New(slog.NewJSONHandler(w, opts))
}
