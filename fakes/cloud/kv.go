package cloud

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/plat/keyval"
)

// maxWatchWait is the longest wait of one watch call.
const maxWatchWait = time.Minute

func get(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.GetRequest](b)
	if err != nil {
		return nil, err
	}
	i, err := s.store.Get(context.Background(), q.Key)
	return keyval.GetResponse{Found: i.Found(), Value: i.Value(), Rev: i.Rev()}, err
}

func list(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.ListRequest](b)
	if err != nil {
		return nil, err
	}
	l, rev, err := s.store.List(context.Background(), q.Prefix, q.After, q.Limit)
	a := keyval.ListResponse{Rev: rev, Items: make([]keyval.ItemWire, len(l))}
	for j, i := range l {
		a.Items[j] = keyval.ItemWire{Key: i.Key(), Value: i.Value(), Rev: i.Rev()}
	}
	return a, err
}

func put(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.PutRequest](b)
	if err != nil {
		return nil, err
	}
	rev, err := s.store.Put(context.Background(), q.Key, q.Value, q.Cond, q.Lease)
	ok, err := conditionHeld(err)
	return keyval.PutResponse{OK: ok, Rev: rev}, err
}

func remove(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.DeleteRequest](b)
	if err != nil {
		return nil, err
	}
	ok, err := conditionHeld(s.store.Delete(context.Background(), q.Key, q.Cond))
	return keyval.OKResponse{OK: ok}, err
}

func watch(ctx context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.WatchRequest](b)
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(q.WaitMillis)*time.Millisecond, maxWatchWait)
	l, rev, err := s.store.Watch(ctx, q.Prefix, q.Rev, wait)
	switch {
	case errors.Is(err, keyval.ErrReset):
		return keyval.WatchResponse{Rev: rev, Reset: true}, nil
	case err != nil:
		return keyval.WatchResponse{Rev: q.Rev}, nil
	}
	a := keyval.WatchResponse{Rev: rev, Events: make([]keyval.EventWire, len(l))}
	for j, e := range l {
		i := e.Item()
		a.Events[j] = keyval.EventWire{Key: i.Key(), Value: i.Value(), Rev: i.Rev(), Deleted: e.Deleted()}
	}
	return a, nil
}

func grant(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.GrantRequest](b)
	if err != nil {
		return nil, err
	}
	id, err := s.store.Grant(context.Background(), time.Duration(q.TTLMillis)*time.Millisecond)
	return keyval.GrantResponse{Lease: id}, err
}

func renew(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.LeaseRequest](b)
	if err != nil {
		return nil, err
	}
	ok, err := conditionHeld(s.store.Renew(context.Background(), q.Lease))
	return keyval.OKResponse{OK: ok}, err
}

func revoke(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[keyval.LeaseRequest](b)
	if err != nil {
		return nil, err
	}
	ok, err := conditionHeld(s.store.Revoke(context.Background(), q.Lease))
	return keyval.OKResponse{OK: ok}, err
}

// conditionHeld returns false without an error for ErrConflict, so that the call is answered normally.
func conditionHeld(err error) (bool, error) {
	if errors.Is(err, keyval.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
