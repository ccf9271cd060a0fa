package main

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"burdockreach.dev/node/setup"
)

// serve runs the entry until c ends and it is drained.
func serve(context.Context, setup.Settings, zerolog.Logger) error {
	return eris.New("this build has no entry process yet")
}
