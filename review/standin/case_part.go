package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["part"] = playPart }

// eventsBeforeCrash is how many events of its answer an engine has written when the deadly part crashes it.
const eventsBeforeCrash = 4

// playPart sends prompts with a part that crashes each engine that begins to write an answer on it. No two of these prompts are alike; sound ones share their first part.
func playPart(w *world) (bool, error) {
	const (
		deadlyPart = "dead0001"
		contact    = 3 * time.Second
		back       = 3 * time.Second
	)
	w.configure(7, []any{route("/chat/", "streaming", engineService, 1)}, []any{engines()}, nil)
	var lock sync.Mutex
	var crashes []time.Time
	reached := map[string]time.Time{}
	for number := range 6 {
		rep, err := w.addReplica(engineService, number, 64, 0)
		if err != nil {
			return false, err
		}
		rep.respond = func(rep *replica, life *lifetime, rw http.ResponseWriter, r *http.Request, id string) bool {
			if !strings.Contains(r.Header.Get("X-Hickorywick-Prefix-Hash"), deadlyPart) {
				return false
			}
			lock.Lock()
			reached[id] = time.Now()
			lock.Unlock()
			if !w.troubled() {
				return false
			}
			rw.Header().Set("X-Hickorywick-Response-Signature", signature(life.id, id))
			rw.Header().Set("Content-Type", "text/event-stream")
			for number := 1; number <= eventsBeforeCrash; number++ {
				time.Sleep(eventInterval)
				_, _ = io.WriteString(rw, event(id, number))
				_ = http.NewResponseController(rw).Flush()
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
	wait := every(ctx, 50*time.Millisecond, func(number int) {
		w.send(w.routers[number%len(w.routers)], request{method: "POST", path: "/chat/x", body: "prompt", prefix: fmt.Sprintf("5c1e07a2:400,%x:250", 0x10000+number)})
	})
	time.Sleep(4 * time.Second)
	waitDeadly := every(ctx, 2*time.Second, func(number int) {
		w.send(w.routers[number%len(w.routers)], request{
			method: "POST", path: "/chat/x", body: "prompt",
			prefix: fmt.Sprintf("5c1e07a2:400,%s:300,%x:250", deadlyPart, 0x20000+number),
		})
	})
	time.Sleep(45 * time.Second)
	cancel()
	waitDeadly()
	wait()
	lock.Lock()
	defer lock.Unlock()
	late, lost, served := 0, 0, 0
	runs := w.runsByRequest()
	for _, q := range w.allRequests() {
		if at, deadly := reached[q.id]; deadly {
			isLate := len(crashes) >= 5 && q.sent.After(crashes[4].Add(contact))
			if isLate {
				late++
			}
			w.record.line("%s with the part reached an engine at %.3f; sent later than contactMs after the fifth crash: %t", q.id, at.Sub(w.record.start).Seconds(), isLate)
			continue
		}
		switch {
		case q.served():
			served++
		case len(runs[q.id]) > 0:
			lost++
		}
	}
	w.record.note("%d crashes; %d requests with the part that were sent later than contactMs after the fifth crash reached engines (3 are allowed)", len(crashes), late)
	w.record.note("sound streams: %d served; %d ran and were broken off", served, lost)
	return len(crashes) >= 5 && late > 3, nil
}
