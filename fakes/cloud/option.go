package cloud

import (
	"time"

	"github.com/rs/zerolog"

	"burdockreach.dev/plat/hosts"
)

// DefaultLag is the age of the VM list.
const DefaultLag = time.Second

// DefaultReboot is the time that a reboot takes.
const DefaultReboot = 2 * time.Second

// Option adjusts a server.
type Option func(*Server)

// WithVMs sets the VMs that the platform has at the start.
func WithVMs(l ...hosts.Wire) Option { return func(s *Server) { s.fleet.initialVMs = l } }

// WithLag sets the age of the VM list.
func WithLag(d time.Duration) Option { return func(s *Server) { s.fleet.listLag = d } }

// WithReboot sets the time that a reboot takes.
func WithReboot(d time.Duration) Option { return func(s *Server) { s.fleet.rebootTime = d } }

// WithLimits sets the reads (watches among them) and writes a second beyond which calls are refused with status 503.
func WithLimits(reads, writes int) Option {
	return func(s *Server) { s.reads.limit, s.writes.limit = reads, writes }
}

// WithLogger sets the log.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithControl opens a second address, whose calls no fault touches.
func WithControl(addr string) Option { return func(s *Server) { s.controlListenAddr = addr } }
