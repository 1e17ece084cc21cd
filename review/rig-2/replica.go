package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval of the replicas' registrations, as in the settings.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of one replica of a plain service. Each start is a new lifetime with a new id at the same address.
type replica struct {
	rig     *rig
	service string
	zone    string
	slots   int
	address string

	lock     sync.Mutex
	id       string
	born     int64
	server   *http.Server
	conns    map[net.Conn]bool
	running  int
	sequence int
	starts   int
	up       bool
	// registered is cleared when the replica leaves without a word: its entry is removed.
	registered bool
}

// start begins a new lifetime.
func (p *replica) start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	address := p.address
	if address == "" {
		address = p.rig.ip(100) + ":0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	p.address = listener.Addr().String()
	p.starts++
	p.id = p.rig.replicaID()
	p.born = time.Now().UnixMilli()
	p.conns = map[net.Conn]bool{}
	p.running = 0
	p.sequence = 0
	p.up = true
	p.registered = true
	id := p.id
	p.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(id, w, r) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			p.lock.Lock()
			defer p.lock.Unlock()
			switch state {
			case http.StateNew:
				p.conns[conn] = true
			case http.StateClosed:
				delete(p.conns, conn)
			}
		},
		ErrorLog: discard,
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(p.server)
	go p.register(id)
	return nil
}

// register writes the entry every heartbeat while the lifetime lasts, and lets it expire after three missed ones.
func (p *replica) register(id string) {
	for {
		p.lock.Lock()
		if !p.registered || p.id != id {
			p.lock.Unlock()
			return
		}
		if !p.up {
			p.lock.Unlock()
			break
		}
		p.sequence++
		entry := map[string]any{
			"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots,
			"state": "ready", "coldRemainingMs": 0, "sequence": p.sequence, "born": p.born,
		}
		if p.rig.engines {
			entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
		}
		p.lock.Unlock()
		if !p.rig.store.isSilent() {
			p.rig.store.put("servers/"+id, entry)
		}
		time.Sleep(heartbeat)
	}
	time.Sleep(3*heartbeat - heartbeat/2)
	p.rig.store.remove("servers/" + id)
}

// leave removes the entry without a report that the replica drains; the replica serves on. It returns the id.
func (p *replica) leave() string {
	p.lock.Lock()
	p.registered = false
	id := p.id
	p.lock.Unlock()
	// A heartbeat that was under way must not bring the entry back.
	time.Sleep(5 * time.Millisecond)
	p.rig.store.remove("servers/" + id)
	return id
}

// exit ends the lifetime of a replica that has left.
func (p *replica) exit() {
	p.lock.Lock()
	p.up = false
	server := p.server
	p.lock.Unlock()
	_ = server.Close()
}

// crash ends the lifetime: all connections are reset and none is accepted. The next lifetime begins after the given time.
func (p *replica) crash(down time.Duration) {
	p.lock.Lock()
	if !p.up {
		p.lock.Unlock()
		return
	}
	p.up = false
	server := p.server
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.lock.Unlock()
	_ = server.Close()
	if p.rig.crashed != nil {
		p.rig.crashed(time.Now())
	}
	time.AfterFunc(down, func() {
		if err := p.start(); err != nil {
			p.rig.record.printf("replica %s can't start again: %v", p.address, err)
			return
		}
		p.rig.record.printf("replica %s is back as %s", p.address, p.id)
	})
}

func (p *replica) serve(id string, w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("X-Hickorywick-Request-Id")
	w.Header().Set("X-Hickorywick-Request-Id", requestID)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Hickorywick-Instance-Id", id)
		return
	}
	if r.URL.Path == "/hickorywick/kv-list" {
		_, _ = io.WriteString(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	}
	if expected := r.Header.Get("X-Hickorywick-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Hickorywick-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if requestID == "" {
		w.Header().Set("X-Hickorywick-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	if p.running >= p.slots {
		p.lock.Unlock()
		w.Header().Set("X-Hickorywick-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.running++
	load := fmt.Sprintf("%d,0,%d,100", p.running, p.slots)
	p.lock.Unlock()
	defer func() { p.lock.Lock(); p.running--; p.lock.Unlock() }()
	run := execution{
		at: time.Now(), requestID: requestID, replica: id, address: p.address, service: p.service, tenant: r.Header.Get("X-Hickorywick-Tenant"),
		key: r.Header.Get("Authorization"), path: r.URL.Path, body: string(body), method: r.Method,
		prefix: r.Header.Get("X-Hickorywick-Prefix-Hash"),
	}
	p.rig.recordRun(run)
	if p.rig.crashes != nil && p.rig.crashes(run) {
		p.rig.record.printf("replica %s (%s) crashes under request %s", id, p.address, requestID)
		p.crash(p.rig.crashDown)
		panic(http.ErrAbortHandler)
	}
	work := 60 * time.Millisecond
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if !sleep(r.Context(), work) {
		return
	}
	if p.rig.engines {
		w.Header().Set("X-Hickorywick-Response-Signature", "sig."+id+"."+requestID)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 10 {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, requestID); err != nil || http.NewResponseController(w).Flush() != nil || !sleep(r.Context(), 30*time.Millisecond) {
				return
			}
		}
		return
	}
	answer := bytes.Repeat([]byte("answer to "+requestID+" "), 20)
	w.Header().Set("X-Hickorywick-Response-Signature", "sig."+id+"."+requestID)
	w.Header().Set("X-Hickorywick-Replica-Load", load)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// sleep waits and reports whether the context has not ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
