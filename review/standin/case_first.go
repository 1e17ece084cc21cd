package main

import (
	"context"
	"time"
)

func init() { cases["first"] = playFirst }

// playFirst starts the whole system for the first time. The operator writes the first configuration some seconds after the machines have started and before traffic starts. From the start on, the store turns one machine away and serves the other three.
func playFirst(w *world) (bool, error) {
	const (
		machines     = 4
		configAfter  = 3 * time.Second
		trafficAfter = 10 * time.Second
		trafficTime  = 30 * time.Second
	)
	for number := 1; number <= machines; number++ {
		if err := w.addRouter(number); err != nil {
			return false, err
		}
	}
	for number := range 3 {
		if _, err := w.addReplica("ledger", number, 6, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	away, err := w.mostlyReading()
	if err != nil {
		return false, err
	}
	w.record.note("a trial with the same addresses: %s reads the store for the others", away.name)
	w.store.remove("op/config")
	if w.troubled() {
		away.door.turnsAway.Store(true)
		w.record.note("the store turns %s away (503) and serves the other %d", away.name, machines-1)
	}
	for _, r := range w.routers {
		if err := r.start(); err != nil {
			return false, err
		}
	}
	w.record.note("all machines are started for the first time")
	time.Sleep(configAfter)
	w.configureLedger()
	w.record.note("the first configuration is acknowledged")
	time.Sleep(trafficAfter - configAfter)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := every(ctx, 50*time.Millisecond, func(number int) {
		w.send(w.routers[number%len(w.routers)], request{method: "GET", path: "/look/x"})
	})
	from := time.Now()
	time.Sleep(trafficTime)
	to := time.Now()
	for _, r := range w.routers {
		w.record.note("%s is ready: %t; the store has answered it %d reads of the list", r.name, r.ready(), r.door.lists.Load())
	}
	served := w.servedShare("in the first 30 s of traffic", from, to)
	away.door.turnsAway.Store(false)
	w.record.note("the store serves all machines from now on")
	time.Sleep(3 * time.Second)
	from = time.Now()
	time.Sleep(3 * time.Second)
	cancel()
	wait()
	w.servedShare("sent 3 s later", from, time.Now())
	return served == 0, nil
}

func (w *world) configureLedger() {
	w.configure(7, []any{route("/look/", "safe", "ledger", 2)}, []any{plainService("ledger")}, nil)
}

// mostlyReading runs the system for some seconds and returns the machine that read the list of replicas most often.
func (w *world) mostlyReading() (*router, error) {
	w.configureLedger()
	for _, r := range w.routers {
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	most := w.routers[0]
	for _, r := range w.routers {
		if r.door.lists.Load() > most.door.lists.Load() {
			most = r
		}
	}
	for _, r := range w.routers {
		r.kill()
		r.door.lists.Store(0)
	}
	return most, nil
}

// servedShare returns the share of the requests sent in a span of time that were served.
func (w *world) servedShare(what string, from, to time.Time) float64 {
	served, all := 0, 0
	for _, q := range w.allRequests() {
		if q.sent.Before(from) || q.sent.After(to) {
			continue
		}
		all++
		if q.served() {
			served++
		}
	}
	w.record.note("requests %s: %d of %d served", what, served, all)
	return float64(served) / float64(max(1, all))
}
