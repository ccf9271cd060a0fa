package keyval

// JSON bodies of requests to the service and of its responses, shared by the client and the stand-ins.
type (
	// GetRequest asks for one key.
	GetRequest struct {
		Key string `json:"key"`
	}
	// GetResponse holds the key's value and revision, if Found.
	GetResponse struct {
		Found bool     `json:"found"`
		Value []byte   `json:"value"`
		Rev   Revision `json:"rev"`
	}
	// ListRequest asks for up to Limit items whose keys begin with Prefix and come after After.
	ListRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	// ItemWire is one item in JSON.
	ItemWire struct {
		Key   string   `json:"key"`
		Value []byte   `json:"value"`
		Rev   Revision `json:"rev"`
	}
	// ListResponse holds the items in key order and the service's revision.
	ListResponse struct {
		Items []ItemWire `json:"items"`
		Rev   Revision   `json:"rev"`
	}
	// PutRequest writes Value if the key's revision is Cond.
	PutRequest struct {
		Key   string   `json:"key"`
		Value []byte   `json:"value"`
		Cond  Revision `json:"cond"`
		Lease LeaseID  `json:"lease"`
	}
	// PutResponse holds the new revision, if OK.
	PutResponse struct {
		OK  bool     `json:"ok"`
		Rev Revision `json:"rev"`
	}
	// DeleteRequest removes the key if its revision is Cond.
	DeleteRequest struct {
		Key  string   `json:"key"`
		Cond Revision `json:"cond"`
	}
	// OKResponse reports whether the call took effect.
	OKResponse struct {
		OK bool `json:"ok"`
	}
	// WatchRequest waits up to WaitMillis for changes after Rev under Prefix.
	WatchRequest struct {
		Prefix     string   `json:"prefix"`
		Rev        Revision `json:"rev"`
		WaitMillis int64    `json:"waitMs"`
	}
	// EventWire is one event in JSON.
	EventWire struct {
		Key     string   `json:"key"`
		Value   []byte   `json:"value"`
		Rev     Revision `json:"rev"`
		Deleted bool     `json:"deleted"`
	}
	// WatchResponse holds the events and the revision to continue from. Reset means that the caller must list again.
	WatchResponse struct {
		Events []EventWire `json:"events"`
		Rev    Revision    `json:"rev"`
		Reset  bool        `json:"reset"`
	}
	// GrantRequest creates a lease that expires TTLMillis after its last renewal.
	GrantRequest struct {
		TTLMillis int64 `json:"ttlMs"`
	}
	// GrantResponse holds the id of the new lease.
	GrantResponse struct {
		Lease LeaseID `json:"lease"`
	}
	// LeaseRequest holds the id of the lease to renew or revoke.
	LeaseRequest struct {
		Lease LeaseID `json:"lease"`
	}
)

// Paths of the service's calls.
const (
	PathGet    = "/kv/get"
	PathList   = "/kv/list"
	PathPut    = "/kv/put"
	PathDelete = "/kv/delete"
	PathWatch  = "/kv/watch"
	PathGrant  = "/kv/grant"
	PathRenew  = "/kv/renew"
	PathRevoke = "/kv/revoke"
)
