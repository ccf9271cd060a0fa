package setup

// Document is the JSON document in a settings file. Unknown fields are invalid.
// The fields that are marked omitempty may be left out and then get their defaults. DrainWaitMs may be left out of a file too; it is
// always encoded because 0, which means no wait, is not its default.
type Document struct {
	Name                 string   `json:"name"`
	DataCentre           string   `json:"dataCentre"`
	DataCentres          []string `json:"dataCentres"`
	CallerAddr           string   `json:"callerAddr"`
	PeerAddr             string   `json:"peerAddr"`
	OperatorAddr         string   `json:"operatorAddr"`
	PlatformAddr         string   `json:"platformAddr"`
	PeerAddrs            []string `json:"peerAddrs,omitempty"`
	OperatorTokenDigests []string `json:"operatorTokenDigests,omitempty"`
	LogLevel             string   `json:"logLevel,omitempty"`
	MaxBodyBytes         int64    `json:"maxBodyBytes,omitempty"`
	MaxAnswerBytes       int64    `json:"maxAnswerBytes,omitempty"`
	MaxCallerConns       int64    `json:"maxCallerConns,omitempty"`
	MaxQueueRequests     int64    `json:"maxQueueRequests,omitempty"`
	MaxQueueBytes        int64    `json:"maxQueueBytes,omitempty"`
	DefaultDeadlineMs    int64    `json:"defaultDeadlineMs,omitempty"`
	MaxDeadlineMs        int64    `json:"maxDeadlineMs,omitempty"`
	DrainWaitMs          int64    `json:"drainWaitMs"`
	ConnectTimeoutMs     int64    `json:"connectTimeoutMs,omitempty"`
	IdleConnMs           int64    `json:"idleConnMs,omitempty"`
	PlatformTimeoutMs    int64    `json:"platformTimeoutMs,omitempty"`
	PeerTimeoutMs        int64    `json:"peerTimeoutMs,omitempty"`
	TickMs               int64    `json:"tickMs,omitempty"`
	BeatMs               int64    `json:"beatMs,omitempty"`
	EntryUnheardSeconds  int64    `json:"entryUnheardSeconds,omitempty"`
	LeaderLeaseMs        int64    `json:"leaderLeaseMs,omitempty"`
	WatchWaitMs          int64    `json:"watchWaitMs,omitempty"`
	MaxKeys              int64    `json:"maxKeys,omitempty"`
}
