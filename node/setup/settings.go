package setup

import (
	"slices"
	"time"
)

// Settings holds the validated settings of one entry. It is immutable.
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

// PlatformAddr returns the host:port of the platform's API.
func (s Settings) PlatformAddr() string { return s.d.PlatformAddr }

// PeerAddrs returns the peer addresses of other entries of the data centre, for a start while the platform is unreachable.
func (s Settings) PeerAddrs() []string { return slices.Clone(s.d.PeerAddrs) }

// OperatorTokenDigests returns the SHA-256 digests of the operators' tokens in hexadecimal.
func (s Settings) OperatorTokenDigests() []string { return slices.Clone(s.d.OperatorTokenDigests) }

// LogLevel returns the lowest level that is logged.
func (s Settings) LogLevel() string { return s.d.LogLevel }

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (s Settings) MaxBodyBytes() int { return int(s.d.MaxBodyBytes) }

// MaxAnswerBytes returns the maximum size of a target's answer in bytes.
func (s Settings) MaxAnswerBytes() int { return int(s.d.MaxAnswerBytes) }

// MaxCallerConns returns the maximum number of open connections from callers.
func (s Settings) MaxCallerConns() int { return int(s.d.MaxCallerConns) }

// MaxQueueRequests returns the maximum number of requests that wait for one service.
func (s Settings) MaxQueueRequests() int { return int(s.d.MaxQueueRequests) }

// MaxQueueBytes returns the maximum total size in bytes of the bodies of waiting requests.
func (s Settings) MaxQueueBytes() int64 { return s.d.MaxQueueBytes }

// DefaultDeadline returns the deadline of a request if neither the request nor its profile sets one.
func (s Settings) DefaultDeadline() time.Duration { return millis(s.d.DefaultDeadlineMs) }

// MaxDeadline returns the longest deadline that a request may set.
func (s Settings) MaxDeadline() time.Duration { return millis(s.d.MaxDeadlineMs) }

// DrainTimeout returns the time limit for requests in flight after SIGTERM.
func (s Settings) DrainTimeout() time.Duration { return millis(s.d.DrainWaitMs) }

// ConnectTimeout returns the timeout for connecting to a target.
func (s Settings) ConnectTimeout() time.Duration { return millis(s.d.ConnectTimeoutMs) }

// IdleConnTimeout returns the time after which an idle connection to a target is closed.
func (s Settings) IdleConnTimeout() time.Duration { return millis(s.d.IdleConnMs) }

// PlatformTimeout returns the timeout of a call to the platform, not counting the time for which a watch waits.
func (s Settings) PlatformTimeout() time.Duration { return millis(s.d.PlatformTimeoutMs) }

// PeerTimeout returns the timeout of a call to another entry.
func (s Settings) PeerTimeout() time.Duration { return millis(s.d.PeerTimeoutMs) }

// LeaderTick returns the interval of the leader's loop.
func (s Settings) LeaderTick() time.Duration { return millis(s.d.TickMs) }

// HeartbeatInterval returns the interval of heartbeats between entries.
func (s Settings) HeartbeatInterval() time.Duration { return millis(s.d.BeatMs) }

// HeartbeatTimeout returns the time without a heartbeat after which an entry counts as unreachable.
func (s Settings) HeartbeatTimeout() time.Duration { return seconds(s.d.EntryUnheardSeconds) }

// LeaderLease returns the time to live of the leader's lease. The lease lapses if it is not renewed within this time.
func (s Settings) LeaderLease() time.Duration { return millis(s.d.LeaderLeaseMs) }

// MaxWatchWait returns how long one watch on the platform's key-value service waits for a change.
func (s Settings) MaxWatchWait() time.Duration { return millis(s.d.WatchWaitMs) }

// MaxKeys returns the maximum number of idempotency keys that the entry holds.
func (s Settings) MaxKeys() int { return int(s.d.MaxKeys) }

func millis(n int64) time.Duration  { return time.Duration(n) * time.Millisecond }
func seconds(n int64) time.Duration { return time.Duration(n) * time.Second }
