package main

import (
	"context"
	"expvar"

	"github.com/rs/zerolog"

	"burdockreach.dev/node/daemon"
	"burdockreach.dev/node/setup"
)

// serve runs the entry until c ends, then drains it. It publishes the entry's variables through expvar.
func serve(c context.Context, s setup.Settings, l zerolog.Logger) error {
	d := daemon.New(s, l)
	expvar.Publish("burdockreach", expvar.Func(func() any { return d.Vars() }))
	return d.Run(c)
}
