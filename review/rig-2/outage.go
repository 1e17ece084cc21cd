package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainTime = 2 * time.Second
	// removalLead is how long before the outage the entry of the leaving replica is removed, and outageTime how long the store is silent.
	removalLead = 50 * time.Millisecond
	outageTime  = 3 * time.Second
	// staysAfter is how long after the outage the replica that has left still serves before it exits.
	staysAfter  = contactTime + 450*time.Millisecond
	outageCycle = 10 * time.Second
	outageRuns  = 9
	// arrivalMargin is the least time after the end of contactMs from which an arrival counts.
	arrivalMargin = 10 * time.Millisecond
	outageClients = 240
)

// outageRetainsGone: a replica leaves without a word just before an outage of the store. Once the routers are in touch again, requests must not reach it.
func outageRetainsGone(g *rig, trouble bool) (bool, error) {
	g.store.put("op/config", config(7, []map[string]any{tenant("cellar", "key-cellar")}))
	if err := startSmall(g, 5, 6, 64); err != nil {
		return false, err
	}
	var lock sync.Mutex
	sentBy := map[string]*router{}
	status := map[string]int{}
	var served, lost atomic.Int64
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range outageClients {
		clients.Go(func() {
			for n := i; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := newRequestID()
				r := g.routers[n%len(g.routers)]
				lock.Lock()
				sentBy[id] = r
				lock.Unlock()
				answer := g.send(r, call{method: http.MethodPost, path: "/redeem/visitor?work=600", body: fmt.Sprintf("redeem %d-%d", i, n), key: "key-cellar", timeout: 4 * time.Second, requestID: id})
				lock.Lock()
				status[id] = answer.status
				lock.Unlock()
				switch {
				case answer.err == nil && answer.status == http.StatusOK:
					served.Add(1)
				case answer.status == http.StatusBadGateway:
					lost.Add(1)
				}
			}
		})
	}
	counted, cyclesBroken := 0, 0
	var late []string
	for n := range outageRuns {
		begin := time.Now()
		leaving := g.replicas[n%len(g.replicas)]
		id := leaving.leave()
		removedAt := time.Now()
		g.record.tee("replica %s leaves; its entry is removed", id)
		time.Sleep(removalLead)
		if trouble {
			g.store.setSilent(true)
		}
		time.Sleep(outageTime)
		g.store.setSilent(false)
		backAt := time.Now()
		if trouble {
			g.record.printf("the store was silent for %.2f s", outageTime.Seconds())
		}
		time.Sleep(time.Until(backAt.Add(staysAfter)))
		leaving.exit()
		exitAt := time.Now()
		from := backAt.Add(contactTime + arrivalMargin)
		if limit := removedAt.Add(drainTime); from.Before(limit) {
			from = limit
		}
		inCycle := 0
		for _, e := range g.executions() {
			if e.replica == id && e.at.After(from) {
				inCycle++
				late = append(late, e.requestID)
				lock.Lock()
				r := sentBy[e.requestID]
				lock.Unlock()
				if inCycle <= 3 {
					g.record.tee("  request %s reaches %s from %s %.2f s after its entry was removed, %.2f s after the end of the outage", e.requestID, id, r.name, e.at.Sub(removedAt).Seconds(), e.at.Sub(backAt).Seconds())
				}
			}
		}
		g.record.tee("  requests that reached it later than drainMs, from routers in touch: %d; it exited %.2f s after the removal", inCycle, exitAt.Sub(removedAt).Seconds())
		counted += inCycle
		if inCycle > 0 {
			cyclesBroken++
		}
		if err := leaving.start(); err != nil {
			return false, err
		}
		time.Sleep(time.Until(begin.Add(outageCycle)))
	}
	close(done)
	clients.Wait()
	lateLost := 0
	for _, id := range late {
		if status[id] != http.StatusOK {
			lateLost++
		}
	}
	g.record.tee("of the requests that reached replicas later than drainMs, %d got no answer of theirs because the replica exited", lateLost)
	g.record.tee("%d requests in %d of %d cycles; other requests: %d served, %d unsafe ones answered 502", counted, cyclesBroken, outageRuns, served.Load(), lost.Load())
	return counted > 0, nil
}
