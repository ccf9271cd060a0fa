package keyval

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Revision is the number of a write to the service; each write, or transaction, increases it by one.
type Revision int64

const (
	// Absent is the condition that the key does not exist.
	Absent Revision = 0
	// Any is the condition that always holds, whether or not the key exists.
	Any Revision = -1
)

var (
	// ErrConflict reports that the condition of a write did not hold. The write was certainly not applied.
	ErrConflict = eris.New("keyval: condition does not hold")
	// ErrDown reports that the call was certainly not applied: it did not reach the service, or the service refused it.
	ErrDown = eris.New("keyval: service cannot be reached")
	// ErrUnknown reports that the call was sent and its response was lost. A write may or may not be applied, possibly later.
	ErrUnknown = eris.New("keyval: outcome unknown")
	// ErrTooLarge reports a value of more than MaxValue bytes. Nothing was written.
	ErrTooLarge = eris.New("keyval: value too large")
	// ErrRejected reports that the service certainly did not apply the call, and would reject it again: it is malformed, too large
	// or not allowed.
	ErrRejected = eris.New("keyval: call rejected")
	// ErrBusy reports that the service answered that it does not take the call now. Such an error matches ErrDown, too.
	ErrBusy = eris.New("keyval: service is busy")
	// ErrReset reports that a watch cannot continue from its revision, because the service was restored to an older revision or
	// no longer has the events after it. The caller must list again.
	ErrReset = eris.New("keyval: watch cannot continue from its revision; list again")
)

// MaxValue is the largest size of a value in bytes.
const MaxValue = 1 << 20

// LeaseID identifies a lease of the service; zero means no lease.
type LeaseID int64

// Item is a key with its value and the revision of its last write.
type Item struct {
	key   string
	value []byte
	rev   Revision
}

// NewItem returns an item, for implementations of Store.
func NewItem(key string, value []byte, rev Revision) Item {
	return Item{key: key, value: value, rev: rev}
}

// Key returns the item's key.
func (i Item) Key() string { return i.key }

// Value returns the item's value; the caller must not change it.
func (i Item) Value() []byte { return i.value }

// Rev returns the revision of the item's last write, or Absent if the key does not exist.
func (i Item) Rev() Revision { return i.rev }

// Found reports whether the key exists.
func (i Item) Found() bool { return i.rev > 0 }

// Event is a change of one key that a watch reports.
type Event struct {
	item    Item
	deleted bool
}

// NewEvent returns the event that i was written, or deleted if deleted is set.
func NewEvent(i Item, deleted bool) Event { return Event{item: i, deleted: deleted} }

// Item returns the key, value and revision of the change.
func (e Event) Item() Item { return e.item }

// Deleted reports whether the change removed the key.
func (e Event) Deleted() bool { return e.deleted }

// Store is the platform's key-value service.
type Store interface {
	// Get returns the item at key. If the key does not exist, it returns an item that is not Found and no error.
	Get(ctx context.Context, key string) (Item, error)
	// List returns, in key order, up to limit items whose keys begin with prefix and come after the key after, and the service's revision.
	List(ctx context.Context, prefix, after string, limit int) ([]Item, Revision, error)
	// Put writes value under key if the key's revision is cond (Absent, Any or a revision), and returns the new revision. A lease
	// other than 0 removes the key when it ends.
	Put(ctx context.Context, key string, value []byte, cond Revision, lease LeaseID) (Revision, error)
	// Delete removes key if the key's revision is cond.
	Delete(ctx context.Context, key string, cond Revision) error
	// Watch waits for up to wait for changes after rev under prefix, and returns them with the revision to continue from.
	Watch(ctx context.Context, prefix string, rev Revision, wait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease. ErrConflict means that it has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Guard is a condition of a transaction: the key's revision is Rev, or the key is Absent.
type Guard struct {
	Key string
	Rev Revision
}

// Write is one write of a transaction; Delete removes the key.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Txn is a transaction: all its writes are applied atomically if every guard holds.
type Txn struct {
	Guards []Guard
	Writes []Write
}

// ConflictError reports that a guard of a transaction did not hold, with the present items of the guarded keys. It matches ErrConflict.
type ConflictError struct{ items []Item }

// NewConflictError returns a ConflictError with the present items of the guarded keys.
func NewConflictError(items []Item) *ConflictError { return &ConflictError{items: items} }

// Items returns the present items of the guarded keys. The item of a key that does not exist is not Found.
func (e *ConflictError) Items() []Item { return e.items }

// Error returns the message of ErrConflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// StatusError reports an answer with which the service refused a call. It matches ErrRejected if the same call would be refused again,
// and ErrBusy and ErrDown otherwise.
type StatusError struct {
	status int
	body   string
	final  bool
}

// NewStatusError returns a StatusError for an HTTP status and the start of the response's body. final tells that the same call would
// be refused again.
func NewStatusError(status int, body string, final bool) *StatusError {
	return &StatusError{status: status, body: body, final: final}
}

// Status returns the HTTP status of the answer.
func (e *StatusError) Status() int { return e.status }

// Error returns the status and the body of the answer.
func (e *StatusError) Error() string { return fmt.Sprintf("keyval: status %d: %s", e.status, e.body) }

// Is reports whether target is the class of the error.
func (e *StatusError) Is(target error) bool {
	if e.final {
		return target == ErrRejected
	}
	return target == ErrBusy || target == ErrDown
}
