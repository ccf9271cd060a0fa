package setup

// Units of numeric fields, as the settings page prints them.
const (
	bytesUnit        = "bytes"
	connectionsUnit  = "connections"
	requestsUnit     = "requests"
	millisecondsUnit = "milliseconds"
	secondsUnit      = "seconds"
	keysUnit         = "keys"
)

// field describes one field of the settings file. Defaults, validation and the settings page come from it.
// pointer returns a pointer to the field's value in a Document.
type field struct {
	name, unit, meaning string
	rule                rule
	pointer             func(*Document) any
}

// fields returns all fields in the order of the settings page.
func fields() []field {
	return append(identityFields(), numberFields()...)
}

// identityFields returns the fields for the entry's name, data centre, addresses, operator tokens and log level.
func identityFields() []field {
	return []field{
		{"name", "", "The entry's id: the name of its VM in the platform's list.", nameRule(), func(d *Document) any { return &d.Name }},
		{"dataCentre", "", "The data centre that the entry stands in.", nameRule(), func(d *Document) any { return &d.DataCentre }},
		{"dataCentres", "", "All data centres, the same list in every entry.", namesRule(), func(d *Document) any { return &d.DataCentres }},
		{"callerAddr", "", "Where callers send requests.", addrRule(), func(d *Document) any { return &d.CallerAddr }},
		{"peerAddr", "", "Where the other entries reach this one.", addrRule(), func(d *Document) any { return &d.PeerAddr }},
		{"operatorAddr", "", "Where operators reach this entry.", addrRule(), func(d *Document) any { return &d.OperatorAddr }},
		{"platformAddr", "", "The platform's service.", addrRule(), func(d *Document) any { return &d.PlatformAddr }},
		{"peerAddrs", "", "Peer addresses of other entries of the same data centre, used when the platform cannot be reached at start.", addrsRule(), func(d *Document) any { return &d.PeerAddrs }},
		{"operatorTokenDigests", "", "SHA-256 digests of the tokens that operators may use; none closes the operators' API.", digestsRule(), func(d *Document) any { return &d.OperatorTokenDigests }},
		{"logLevel", "", "Least level that is logged.", levelRule(), func(d *Document) any { return &d.LogLevel }},
	}
}

// numberFields returns the numeric fields: limits, timeouts and intervals.
func numberFields() []field {
	return []field{
		{"maxBodyBytes", bytesUnit, "Longest request body; a longer one is answered 413.", numberRule(1<<20, 1<<10, 64<<20), func(d *Document) any { return &d.MaxBodyBytes }},
		{"maxAnswerBytes", bytesUnit, "Longest answer that is taken from a target.", numberRule(8<<20, 1<<10, 64<<20), func(d *Document) any { return &d.MaxAnswerBytes }},
		{"maxCallerConns", connectionsUnit, "Connections that callers may hold open at once.", numberRule(4096, 1, 1<<20), func(d *Document) any { return &d.MaxCallerConns }},
		{"maxQueueRequests", requestsUnit, "Requests that wait at once for one service.", numberRule(10000, 1, 1000000), func(d *Document) any { return &d.MaxQueueRequests }},
		{"maxQueueBytes", bytesUnit, "Bodies of waiting requests together.", numberRule(64<<20, 1<<10, 4<<30), func(d *Document) any { return &d.MaxQueueBytes }},
		{"defaultDeadlineMs", millisecondsUnit, "Deadline of a request where neither it nor its profile names one.", numberRule(10000, 10, 600000), func(d *Document) any { return &d.DefaultDeadlineMs }},
		{"maxDeadlineMs", millisecondsUnit, "Longest deadline that a request may name.", numberRule(120000, 10, 600000), func(d *Document) any { return &d.MaxDeadlineMs }},
		{"drainWaitMs", millisecondsUnit, "Longest wait for requests in flight after SIGTERM.", numberRule(30000, 0, 600000), func(d *Document) any { return &d.DrainWaitMs }},
		{"connectTimeoutMs", millisecondsUnit, "Longest wait for a connection to a target.", numberRule(500, 10, 10000), func(d *Document) any { return &d.ConnectTimeoutMs }},
		{"idleConnMs", millisecondsUnit, "Time after which an unused connection to a target is closed.", numberRule(5000, 10, 60000), func(d *Document) any { return &d.IdleConnMs }},
		{"platformTimeoutMs", millisecondsUnit, "Longest wait for an answer of the platform, the watch's own wait not counted.", numberRule(1000, 10, 10000), func(d *Document) any { return &d.PlatformTimeoutMs }},
		{"peerTimeoutMs", millisecondsUnit, "Longest wait for an answer of another entry.", numberRule(250, 10, 10000), func(d *Document) any { return &d.PeerTimeoutMs }},
		{"tickMs", millisecondsUnit, "Interval of the leader's loop.", numberRule(1000, 50, 10000), func(d *Document) any { return &d.TickMs }},
		{"beatMs", millisecondsUnit, "Interval of beats between entries.", numberRule(500, 20, 5000), func(d *Document) any { return &d.BeatMs }},
		{"entryUnheardSeconds", secondsUnit, "Time without a beat after which an entry counts as unheard.", numberRule(5, 1, 120), func(d *Document) any { return &d.EntryUnheardSeconds }},
		{"leaderLeaseMs", millisecondsUnit, "Time after which the leader's lease lapses without renewal.", numberRule(5000, 300, 120000), func(d *Document) any { return &d.LeaderLeaseMs }},
		{"watchWaitMs", millisecondsUnit, "Longest wait of one watch on the platform's service.", numberRule(10000, 50, 60000), func(d *Document) any { return &d.WatchWaitMs }},
		{"maxKeys", keysUnit, "Idempotency keys that the entry holds at once; more are refused as not run.", numberRule(200000, 1, 10000000), func(d *Document) any { return &d.MaxKeys }},
	}
}
