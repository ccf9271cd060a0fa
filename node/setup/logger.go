package setup

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes each event to w as one line of key=value pairs.
// name is the entry's id. If level is invalid, the error is an *Error.
func NewLogger(w io.Writer, level, name string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), &Error{faults: []Fault{{"logLevel", fmt.Sprintf("%q", level), levelRule().allowed}}}
	}
	c := zerolog.ConsoleWriter{
		Out: w, NoColor: true,
		FormatTimestamp:    formatPair("time"),
		FormatLevel:        formatPair("level"),
		FormatMessage:      formatPair("event"),
		FormatFieldName:    func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatErrFieldName: func(v any) string { return fmt.Sprintf("%s=", v) },
		FieldsOrder:        []string{"entry", "request", "step", "peer"},
	}
	return zerolog.New(c).Level(l).Hook(zerolog.HookFunc(addTimestamp)).With().Str("entry", name).Logger(), nil
}

// timeLayout formats the timestamps of events, which are in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// addTimestamp adds the current time to an event that is logged.
func addTimestamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeLayout))
}

// formatPair returns a formatter that writes key=value and quotes the value if needed.
func formatPair(key string) zerolog.Formatter {
	return func(v any) string {
		if v == nil {
			return ""
		}
		s := fmt.Sprint(v)
		if canStandUnquoted(s) {
			return key + "=" + s
		}
		return fmt.Sprintf("%s=%q", key, s)
	}
}

// canStandUnquoted reports whether s can be written after "key=" without quotes: it is not empty and consists of
// printable ASCII without spaces, double quotes, backslashes and equals signs.
func canStandUnquoted(s string) bool {
	for _, r := range s {
		if r <= ' ' || r == '"' || r == '\\' || r == '=' || r >= 0x7f {
			return false
		}
	}
	return s != ""
}
