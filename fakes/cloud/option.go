package cloud

import (
	"time"

	"github.com/rs/zerolog"

	"burdockreach.dev/plat/hosts"
)

// DefaultListLag is the default time by which the VM list lags behind the actual VMs.
const DefaultListLag = time.Second

// DefaultRebootTime is the default duration of a reboot.
const DefaultRebootTime = 2 * time.Second

// Option configures a Server.
type Option func(*Server)

// WithVMs sets the VMs that the platform starts with.
func WithVMs(l ...hosts.VMWire) Option { return func(s *Server) { s.fleet.initialVMs = l } }

// WithListLag sets the time by which the VM list lags behind the actual VMs.
func WithListLag(d time.Duration) Option { return func(s *Server) { s.fleet.listLag = d } }

// WithRebootTime sets the duration of a reboot.
func WithRebootTime(d time.Duration) Option { return func(s *Server) { s.fleet.rebootTime = d } }

// WithRateLimits sets rate limits on the key-value service, in reads (including watches) and writes per second. Calls over the limit
// get status 503.
func WithRateLimits(reads, writes int) Option {
	return func(s *Server) { s.reads.limit, s.writes.limit = reads, writes }
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithControl serves the control calls on a second address, addr, which stays reachable during every fault.
func WithControl(addr string) Option { return func(s *Server) { s.controlListenAddr = addr } }
