package main

import (
	"context"
	"strings"
	"time"
)

func init() { cases["stray"] = playStray }

// playStray lets another writer put an incomplete entry under the id of a replica of service orders. The entry names service ledger and lacks zone, version, coldRemainingMs and sequence, so it names no replica to use. The replica's own next registration replaces it.
func playStray(w *world) (bool, error) {
	w.configure(7, []any{route("/look/", "safe", "ledger", 2), route("/redeem/", "unsafe", "ledger", 1), route("/orders/", "unsafe", "orders", 1)},
		[]any{plainService("ledger"), plainService("orders")}, nil)
	for number := range 3 {
		for _, service := range []string{"ledger", "orders"} {
			if _, err := w.addReplica(service, number, 6, 20*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	if err := w.startRouters(2); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := every(ctx, 20*time.Millisecond, func(number int) {
		q := request{method: "GET", path: "/look/x"}
		switch number % 4 {
		case 1:
			q = request{method: "POST", path: "/redeem/x", body: "one token"}
		case 3:
			q = request{method: "POST", path: "/orders/x", body: "one order"}
		}
		w.send(w.routers[number/2%len(w.routers)], q)
	})
	time.Sleep(3 * time.Second)
	for number := range 5 {
		if w.troubled() {
			var orders []*replica
			for _, rep := range w.replicas {
				if rep.service == "orders" {
					orders = append(orders, rep)
				}
			}
			rep := orders[number%len(orders)]
			w.store.put("servers/"+rep.current().id, map[string]any{
				"service": "ledger", "address": rep.address, "slots": 6, "state": "ready", "born": rep.current().born,
			})
			w.record.note("another writer puts an incomplete entry at servers/%s", rep.current().id)
		}
		time.Sleep(4 * time.Second)
	}
	cancel()
	wait()
	wrong, answered := 0, 0
	runs := w.runsByRequest()
	for _, q := range w.allRequests() {
		for _, r := range runs[q.id] {
			if r.service == "orders" && !strings.HasPrefix(r.path, "/orders/") {
				wrong++
				if q.served() {
					answered++
				}
				if wrong <= 5 {
					w.record.note("%s %s, a request on a route to ledger, ran at %s of orders; its client got status %d: %.40s", q.id, q.path, r.replica, q.status, q.answer)
				}
			}
		}
	}
	w.record.note("%d requests on routes to ledger ran at replicas of orders; %d clients got their answer as a success", wrong, answered)
	return wrong > 0, nil
}
