package setup

import (
	"slices"
	"time"
)

// Settings are the checked settings of one entry; they never change.
type Settings struct {
	d Document
}

// Name returns the entry's id.
func (s Settings) Name() string { return s.d.Name }

// DataCentre returns the entry's data centre.
func (s Settings) DataCentre() string { return s.d.DataCentre }

// DataCentres returns all data centres.
func (s Settings) DataCentres() []string { return slices.Clone(s.d.DataCentres) }

// CallerAddr returns the host:port for callers.
func (s Settings) CallerAddr() string { return s.d.CallerAddr }

// PeerAddr returns the host:port for other entries.
func (s Settings) PeerAddr() string { return s.d.PeerAddr }

// OperatorAddr returns the host:port for operators.
func (s Settings) OperatorAddr() string { return s.d.OperatorAddr }

// PlatformAddr returns the host:port of the platform's service.
func (s Settings) PlatformAddr() string { return s.d.PlatformAddr }

// PeerAddrs returns the seed addresses of other entries.
func (s Settings) PeerAddrs() []string { return slices.Clone(s.d.PeerAddrs) }

// OperatorTokenDigests returns the SHA-256 digests of the operators' tokens, in hex.
func (s Settings) OperatorTokenDigests() []string { return slices.Clone(s.d.OperatorTokenDigests) }

// LogLevel returns the least level that is logged.
func (s Settings) LogLevel() string { return s.d.LogLevel }

// MaxBodyBytes returns the longest request body in bytes.
func (s Settings) MaxBodyBytes() int { return int(s.d.MaxBodyBytes) }

// MaxAnswerBytes returns the longest answer of a target in bytes.
func (s Settings) MaxAnswerBytes() int { return int(s.d.MaxAnswerBytes) }

// MaxCallerConns returns the number of connections that callers may hold.
func (s Settings) MaxCallerConns() int { return int(s.d.MaxCallerConns) }

// MaxQueueRequests returns the number of requests that may wait for one service.
func (s Settings) MaxQueueRequests() int { return int(s.d.MaxQueueRequests) }

// MaxQueueBytes returns the bytes that waiting bodies may hold together.
func (s Settings) MaxQueueBytes() int64 { return s.d.MaxQueueBytes }

// DefaultDeadline returns the deadline where neither request nor profile names one.
func (s Settings) DefaultDeadline() time.Duration { return millis(s.d.DefaultDeadlineMs) }

// MaxDeadline returns the longest deadline that a request may name.
func (s Settings) MaxDeadline() time.Duration { return millis(s.d.MaxDeadlineMs) }

// DrainWait returns the longest wait for requests in flight at the end.
func (s Settings) DrainWait() time.Duration { return millis(s.d.DrainWaitMs) }

// ConnectTimeout returns the longest wait for a connection to a target.
func (s Settings) ConnectTimeout() time.Duration { return millis(s.d.ConnectTimeoutMs) }

// IdleConn returns the time after which an unused connection is closed.
func (s Settings) IdleConn() time.Duration { return millis(s.d.IdleConnMs) }

// PlatformTimeout returns the longest wait for the platform.
func (s Settings) PlatformTimeout() time.Duration { return millis(s.d.PlatformTimeoutMs) }

// PeerTimeout returns the longest wait for another entry.
func (s Settings) PeerTimeout() time.Duration { return millis(s.d.PeerTimeoutMs) }

// Tick returns the interval of the leader's loop.
func (s Settings) Tick() time.Duration { return millis(s.d.TickMs) }

// Beat returns the interval of beats between entries.
func (s Settings) Beat() time.Duration { return millis(s.d.BeatMs) }

// EntryUnheard returns the time without a beat after which an entry counts as unheard.
func (s Settings) EntryUnheard() time.Duration { return seconds(s.d.EntryUnheardSeconds) }

// LeaderLease returns the time to live of the leader's lease.
func (s Settings) LeaderLease() time.Duration { return millis(s.d.LeaderLeaseMs) }

// WatchWait returns the longest wait of one watch.
func (s Settings) WatchWait() time.Duration { return millis(s.d.WatchWaitMs) }

// MaxKeys returns the number of idempotency keys that the entry holds.
func (s Settings) MaxKeys() int { return int(s.d.MaxKeys) }

func millis(n int64) time.Duration  { return time.Duration(n) * time.Millisecond }
func seconds(n int64) time.Duration { return time.Duration(n) * time.Second }
