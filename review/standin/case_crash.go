package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

// playCrash sends a request that crashes each replica that begins to run it, again and again with the same path, caller and body at any machine. Sound requests run beside it.
func playCrash(w *world) (bool, error) {
	const (
		deadly  = "a deadly body"
		contact = 3 * time.Second
		back    = 3 * time.Second
	)
	w.configure(7, []any{route("/redeem/", "unsafe", "ledger", 1), route("/look/", "safe", "ledger", 2)}, []any{plainService("ledger")}, nil)
	var lock sync.Mutex
	var arrivals, crashes []time.Time
	for number := range 4 {
		rep, err := w.addReplica("ledger", number, 6, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		rep.respond = func(rep *replica, life *lifetime, _ http.ResponseWriter, r *http.Request, _ string) bool {
			if r.URL.Path != "/redeem/deadly" {
				return false
			}
			lock.Lock()
			arrivals = append(arrivals, time.Now())
			lock.Unlock()
			if !w.troubled() {
				return false
			}
			lock.Lock()
			crashes = append(crashes, time.Now())
			lock.Unlock()
			rep.crash(life, back)
			return true
		}
	}
	if err := w.startRouters(2); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := every(ctx, 10*time.Millisecond, func(number int) {
		q := request{method: "GET", path: "/look/x"}
		if number%2 == 1 {
			q = request{method: "POST", path: "/redeem/x", body: "one token"}
		}
		w.send(w.routers[number/2%len(w.routers)], q)
	})
	time.Sleep(3 * time.Second)
	waitDeadly := every(ctx, 1500*time.Millisecond, func(number int) {
		w.send(w.routers[number%len(w.routers)], request{method: "POST", path: "/redeem/deadly", body: deadly})
	})
	time.Sleep(72 * time.Second)
	cancel()
	wait()
	waitDeadly()
	lock.Lock()
	defer lock.Unlock()
	late := 0
	for number, at := range arrivals {
		if len(crashes) >= 3 && at.After(crashes[2].Add(contact)) {
			late++
		}
		w.record.note("arrival %d of the deadly request at a replica, %.1f s after the first", number+1, at.Sub(arrivals[0]).Seconds())
	}
	lost := 0
	runs := w.runsByRequest()
	for _, q := range w.allRequests() {
		if q.path == "/redeem/x" && !q.served() && len(runs[q.id]) > 0 {
			lost++
		}
	}
	w.record.note("%d crashes; %d arrivals later than contactMs after the third crash (3 are allowed); %d sound unsafe requests ran and got no answer of their replica", len(crashes), late, lost)
	return late > 3, nil
}
