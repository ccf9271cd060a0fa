package setup

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs an event to w; name is the entry's id.
func NewLogger(w io.Writer, level, name string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), &Error{faults: []Fault{{"logLevel", fmt.Sprintf("%q", level), levelRule().allowed}}}
	}
	c := zerolog.ConsoleWriter{
		Out: w, NoColor: true,
		FormatTimestamp:    pair("time"),
		FormatLevel:        pair("level"),
		FormatMessage:      pair("event"),
		FormatFieldName:    func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatErrFieldName: func(v any) string { return fmt.Sprintf("%s=", v) },
		FieldsOrder:        []string{"entry", "request", "step", "peer"},
	}
	return zerolog.New(c).Level(l).Hook(zerolog.HookFunc(stamp)).With().Str("entry", name).Logger(), nil
}

// timeForm is the form of an event's time: UTC with milliseconds.
const timeForm = "2006-01-02T15:04:05.000Z"

// stamp adds the time to an event that is logged.
func stamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeForm))
}

// pair returns a formatter that writes key=value and quotes the value when needed.
func pair(key string) zerolog.Formatter {
	return func(v any) string {
		if v == nil {
			return ""
		}
		s := fmt.Sprint(v)
		if plain(s) {
			return key + "=" + s
		}
		return fmt.Sprintf("%s=%q", key, s)
	}
}

// plain reports whether s can stand unquoted.
func plain(s string) bool {
	for _, r := range s {
		if r <= ' ' || r == '"' || r == '\\' || r == '=' || r >= 0x7f {
			return false
		}
	}
	return s != ""
}
