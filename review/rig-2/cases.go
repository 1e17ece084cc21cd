package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of the settings that the cases check.
const (
	contactTime = 3 * time.Second
	revokeTime  = 5 * time.Second
)

// ledgerRoute returns the route of the ledger service in the operator's configuration.
func ledgerRoute(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": "app.example", "prefix": prefix, "kind": kind, "service": "ledger",
		"timeoutMs": 4000, "sloMs": 300, "maxAttempts": 1, "priority": 2, "public": false,
	}
}

var streamingRoute = map[string]any{
	"name": "draft", "host": "app.example", "prefix": "/draft/", "kind": "streaming", "service": "pool", "timeoutMs": 6000, "sloMs": 1000, "gapAimMs": 300,
	"maxAttempts": 1, "priority": 1, "public": false, "sessionAffinity": true,
}

func config(version int, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  []any{ledgerRoute("redeem", "/redeem/", "unsafe"), ledgerRoute("balance", "/balance/", "safe"), streamingRoute},
		"services": []any{
			map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 110},
			map[string]any{"name": "pool", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{"slots": 64, "kvTokens": 542364}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 100000},
		"tenants": tenants,
	}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": append([]string{}, keys...)}
}

// startSmall starts a small deployment: routers, and the replicas of a plain service. The configuration must be in the store.
func startSmall(g *rig, routers, replicas, slots int) error {
	service := "ledger"
	if g.engines {
		service, slots = "pool", 64
	}
	if err := g.addReplicas(service, replicas, slots); err != nil {
		return err
	}
	if err := g.addRouters(routers); err != nil {
		return err
	}
	if err := g.waitReady(); err != nil {
		return err
	}
	// The routers hear of each other and of all replicas, and are in touch.
	time.Sleep(contactTime + time.Second)
	return nil
}

const (
	// returnInterval is the time between two rounds in which the request that crashes replicas comes again, once at each router.
	returnInterval = 6 * time.Second
	// killAfter is when the routers are killed, if they are, and crashingTime when the case ends.
	killAfter    = 13 * time.Second
	crashingTime = 29 * time.Second
	// For the part of a prompt, of which five crashes are needed, the routers are killed twice.
	firstKillAfter  = 7 * time.Second
	secondKillAfter = 19 * time.Second
	deadlyPartTime  = 35 * time.Second
	crashBody       = "redeem 17 tokens of visitor 4711"
	// allowedRetries is what the rule allows.
	allowedRetries = 3
	// otherClients is the number of clients that send other requests all the while.
	otherClients = 12
)

// hit is an arrival of the request that crashes replicas.
type hit struct {
	execution
	router *router
	// startedAt is when the router's process was started.
	startedAt time.Time
}

// crashingRequest: one request crashes each replica that begins to run it, and comes again every six seconds. All routers are killed once and start again.
func crashingRequest(g *rig, trouble bool) (bool, error) {
	return sendCrashingRequest(g, func() error {
		if !trouble {
			return nil
		}
		return g.killAll()
	})
}

// staleSeeds: the same request, without a kill. The seeds in the settings of all routers are those of machines that are gone.
func staleSeeds(g *rig, trouble bool) (bool, error) {
	if trouble {
		for i := range 3 {
			g.seeds = append(g.seeds, fmt.Sprintf("%s:%d", g.ip(51+i), g.ports.control))
		}
		g.record.tee("seeds: %v, where no process listens", g.seeds)
	}
	return sendCrashingRequest(g, func() error { return nil })
}

// sendCrashingRequest sends a request that crashes replicas once at each router, every six seconds, beside other requests, and counts where it arrives.
func sendCrashingRequest(g *rig, disrupt func() error) (bool, error) {
	return sendCrashing(g, 3, crashingTime, []time.Duration{killAfter}, func(int) call {
		return call{method: http.MethodPost, path: "/redeem/visitor", body: crashBody, key: "key-cellar", timeout: 4 * time.Second}
	}, func(client, number int) call {
		return call{method: http.MethodPost, path: "/redeem/other?work=200", body: fmt.Sprintf("redeem %d-%d", client, number), key: "key-bar", timeout: 4 * time.Second}
	}, func(e execution) bool { return e.body == crashBody }, disrupt)
}

// deadlyPart: requests with one part in their prompts, no two alike, crash each engine that begins to write an answer on them. All routers are killed twice and start again.
func deadlyPart(g *rig, trouble bool) (bool, error) {
	g.engines = true
	prompt := func(part string) string { return fmt.Sprintf("5c1e07a2:800,%s:410,%s:250", part, newRequestID()) }
	draft := func(body, parts string) call {
		return call{method: http.MethodPost, path: "/draft/1?work=300", body: body, key: "key-cellar", timeout: 6 * time.Second, prefix: parts}
	}
	return sendCrashing(g, 5, deadlyPartTime, []time.Duration{firstKillAfter, secondKillAfter}, func(n int) call {
		return draft(fmt.Sprintf("draft with the part, number %d", n), prompt(deadlyPartID))
	}, func(client, number int) call {
		return draft(fmt.Sprintf("draft %d-%d", client, number), prompt(fmt.Sprintf("a%07x", number%50)))
	}, func(e execution) bool { return strings.Contains(e.prefix, deadlyPartID) }, func() error {
		if !trouble {
			return nil
		}
		return g.killAll()
	})
}

const deadlyPartID = "91bd3f06"

// sendCrashing is sendCrashingRequest for requests of any kind. Arrivals count from contactMs after the crash with the given number. Parameter disrupt is called at the given times.
func sendCrashing(g *rig, fromCrash int, length time.Duration, disruptAfter []time.Duration, crashing func(number int) call, other func(client, number int) call, crashes func(execution) bool, disrupt func() error) (bool, error) {
	var lock sync.Mutex
	var hits []hit
	// sentBy keeps which router got which copy of the request, crashed when each address went down.
	sentBy := map[string]*router{}
	var crashedAt []time.Time
	g.crashes = func(e execution) bool {
		if !crashes(e) {
			return false
		}
		lock.Lock()
		defer lock.Unlock()
		sender := sentBy[e.requestID]
		hits = append(hits, hit{execution: e, router: sender, startedAt: sender.processStart()})
		return true
	}
	g.crashed = func(at time.Time) {
		lock.Lock()
		defer lock.Unlock()
		crashedAt = append(crashedAt, at)
	}
	g.store.put("op/config", config(7, []map[string]any{tenant("cellar", "key-cellar"), tenant("bar", "key-bar")}))
	if err := startSmall(g, 4, 9, 6); err != nil {
		return false, err
	}
	begin := time.Now()
	var lost, served atomic.Int64
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range otherClients {
		clients.Go(func() {
			for n := i; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				answer := g.send(g.routers[n%len(g.routers)], other(i, n))
				switch {
				case answer.err == nil && answer.status == http.StatusOK:
					served.Add(1)
				case answer.status == http.StatusBadGateway:
					lost.Add(1)
				}
			}
		})
	}
	disrupted := make(chan error, 1)
	go func() {
		var failure error
		for _, after := range disruptAfter {
			time.Sleep(time.Until(begin.Add(after)))
			failure = errors.Join(failure, disrupt())
		}
		disrupted <- failure
	}()
	for n := 0; time.Since(begin) < length; n++ {
		for i, r := range g.routers {
			id := newRequestID()
			lock.Lock()
			sentBy[id] = r
			lock.Unlock()
			clients.Go(func() {
				c := crashing(4*n + i)
				c.requestID = id
				g.send(r, c)
			})
		}
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * returnInterval)))
	}
	if err := <-disrupted; err != nil {
		return false, err
	}
	close(done)
	clients.Wait()
	lock.Lock()
	defer lock.Unlock()
	if len(crashedAt) < fromCrash {
		g.record.tee("the request has crashed %d replicas only", len(crashedAt))
		return false, nil
	}
	from := crashedAt[fromCrash-1].Add(contactTime)
	counted := 0
	for _, h := range hits {
		inTouch := h.at.Sub(h.startedAt) > contactTime
		late := h.at.After(from)
		if late && inTouch {
			counted++
		}
		g.record.tee("reaches replica %s at %.2f s from %s, %.1f s after the start of its process, counted: %v", h.replica, h.at.Sub(begin).Seconds(), h.router.name, h.at.Sub(h.startedAt).Seconds(), late && inTouch)
	}
	g.record.tee("replicas crashed: %d, number %d at %.2f s", len(crashedAt), fromCrash, crashedAt[fromCrash-1].Sub(begin).Seconds())
	g.record.tee("requests that reached replicas later than contactMs after that, from routers in touch: %d, allowed %d", counted, allowedRetries)
	g.record.tee("other requests: %d served, %d answered 502 (they may have run)", served.Load(), lost.Load())
	return counted > allowedRetries, nil
}

// lastTenant: a configuration takes the last tenant, with its key, away.
func lastTenant(g *rig, trouble bool) (bool, error) {
	const key = "key-cellar"
	g.store.put("op/config", config(7, []map[string]any{tenant("cellar", key)}))
	if err := startSmall(g, 4, 3, 6); err != nil {
		return false, err
	}
	balance := func(r *router, k string) result {
		return g.send(r, call{method: http.MethodGet, path: "/balance/1", key: k, timeout: 4 * time.Second})
	}
	for _, r := range g.routers {
		if answer := balance(r, key); answer.status != http.StatusOK {
			return false, fmt.Errorf("router %s answers %d before the change", r.name, answer.status)
		}
		if answer := balance(r, "key-never"); answer.status != http.StatusUnauthorized {
			return false, fmt.Errorf("router %s answers %d to an unknown key", r.name, answer.status)
		}
	}
	tenants := []map[string]any{}
	if !trouble {
		tenants = append(tenants, tenant("cellar"))
	}
	g.store.put("op/config", config(9, tenants))
	acked := time.Now()
	g.record.tee("version 9 is acknowledged; tenants %v", tenants)
	time.Sleep(revokeTime + time.Second)
	sent := map[string]string{}
	for _, r := range g.routers {
		for _, k := range []string{key, "key-never", ""} {
			id := newRequestID()
			sent[id] = k
			g.send(r, call{method: http.MethodGet, path: "/balance/2", key: k, timeout: 4 * time.Second, requestID: id})
		}
	}
	count := map[string]int{}
	for _, e := range g.executions() {
		if k, found := sent[e.requestID]; found && e.at.Sub(acked) > revokeTime {
			count[k]++
		}
	}
	g.record.tee("runs later than revokeMs after the ack: %d with the key that was taken away, %d with a key that no configuration held, %d without a key", count[key], count["key-never"], count[""])
	return count[key]+count["key-never"] > 0, nil
}
