package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// moveTime is how long a move of a machine takes, as the sheet of the site gives it.
const moveTime = 1500 * time.Millisecond

// machine is one machine of the platform. All fields are guarded by the world's fleetMu.
type machine struct {
	name, pool, state, zone, rack string
	room                          size
	worker                        *worker // nil while it is moving, and in the standby pool.
	lives                         int
}

func (w *world) standby(pool string) bool {
	for _, s := range w.services {
		if s["name"] == pool {
			return s["standby"] == true
		}
	}
	return false
}

// machines serves the list of machines, and moves.
func (w *world) machines(rw http.ResponseWriter, r *http.Request) {
	w.fleetMu.Lock()
	defer w.fleetMu.Unlock()
	if r.Method == http.MethodGet {
		l := []map[string]any{}
		for _, k := range w.fleet {
			id := ""
			if k.worker != nil {
				id = k.worker.id
			}
			l = append(l, map[string]any{
				"machine": k.name, "pool": k.pool, "state": k.state, "zone": k.zone, "labels": []string{"a", k.rack}, "capacity": k.room, "id": id,
			})
		}
		answer(rw, http.StatusOK, map[string]any{"machines": l, "next_token": nil})
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, k := range w.fleet {
		if k.name != b.Machine {
			continue
		}
		switch {
		case r.URL.Path != "/burdockreach/machine-move":
			answer(rw, http.StatusConflict, map[string]string{"reason": "wave"})
		case k.pool == b.Pool:
			answer(rw, http.StatusOK, map[string]any{})
		case k.state != "up":
			answer(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		default:
			w.rec.add("machines", "%s moves from %s to %s, ordered by %s", k.name, k.pool, b.Pool, r.Header.Get("X-Burdockreach-Duty-Holder"))
			k.move(w, b.Pool)
			answer(rw, http.StatusOK, map[string]any{})
		}
		return
	}
	rw.WriteHeader(http.StatusBadRequest)
}

// move ends the machine's executor, and starts a new one in the pool after moveTime. The caller holds fleetMu.
func (k *machine) move(w *world, pool string) {
	if k.worker != nil {
		k.worker.leave()
	}
	k.pool, k.state, k.worker = pool, "moving", nil
	k.lives++
	time.AfterFunc(moveTime, func() {
		w.fleetMu.Lock()
		defer w.fleetMu.Unlock()
		k.state = "up"
		if !w.standby(pool) {
			_, _ = k.boot(w, fmt.Sprintf("i-%s-%d", k.name[2:], k.lives))
		}
	})
}

// executors returns the executors of a service.
func (w *world) executors(service string) []*worker {
	w.fleetMu.Lock()
	defer w.fleetMu.Unlock()
	var l []*worker
	for _, k := range w.fleet {
		if k.worker != nil && k.pool == service {
			l = append(l, k.worker)
		}
	}
	return l
}
