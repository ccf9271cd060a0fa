package cloud

import (
	"time"

	"github.com/rs/zerolog"

	"burdockreach.dev/plat/hosts"
)

// DefaultLag is the default time by which the VM list lags behind the actual VMs.
const DefaultLag = time.Second

// DefaultReboot is the default duration of a reboot.
const DefaultReboot = 2 * time.Second

// Option configures a Server.
type Option func(*Server)

// WithVMs sets the VMs that the platform starts with.
func WithVMs(l ...hosts.VMWire) Option { return func(s *Server) { s.fleet.initialVMs = l } }

// WithLag sets the time by which the VM list lags behind the actual VMs.
func WithLag(d time.Duration) Option { return func(s *Server) { s.fleet.listLag = d } }

// WithReboot sets the duration of a reboot.
func WithReboot(d time.Duration) Option { return func(s *Server) { s.fleet.rebootTime = d } }

// WithLimits sets rate limits on the key-value service, in reads (including watches) and writes per second. Calls over the limit
// get status 503.
func WithLimits(reads, writes int) Option {
	return func(s *Server) { s.reads.limit, s.writes.limit = reads, writes }
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithControl serves the control calls on a second address, addr, which stays reachable during every fault.
func WithControl(addr string) Option { return func(s *Server) { s.controlListenAddr = addr } }
