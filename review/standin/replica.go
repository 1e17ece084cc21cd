package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is how often a replica writes its registration.
const beatInterval = 1200 * time.Millisecond

func serveHTTP(listener net.Listener, handler http.HandlerFunc) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(listener) }()
	return server
}

// replica is a stand-in of one replica. It may start again as another lifetime with a new id at the same address.
type replica struct {
	world   *world
	service string
	zone    string
	address string
	slots   int
	// work is how long a request takes at a service without engines.
	work time.Duration
	// respond answers a request that runs, or is nil for the usual answer.
	respond func(rep *replica, life *lifetime, w http.ResponseWriter, r *http.Request, id string) bool

	lock sync.Mutex
	life *lifetime
}

// lifetime is one start of a replica.
type lifetime struct {
	id       string
	born     int64
	server   *http.Server
	stopped  chan struct{}
	lock     sync.Mutex
	sequence int
	running  int
	conns    map[net.Conn]bool
	runs     atomic.Int64
}

func (w *world) addReplica(service string, number int, slots int, work time.Duration) (*replica, error) {
	rep := &replica{
		world:   w,
		service: service,
		zone:    w.zones[number%len(w.zones)],
		slots:   slots,
		work:    work,
	}
	w.replicas = append(w.replicas, rep)
	return rep, rep.start()
}

// start begins a new lifetime.
func (rep *replica) start() error {
	address := rep.address
	if address == "" {
		address = rep.world.ip(100) + ":0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	rep.address = listener.Addr().String()
	life := &lifetime{
		id:      fmt.Sprintf("i-%d", rep.world.nextReplica.Add(1)),
		born:    time.Now().UnixMilli(),
		stopped: make(chan struct{}),
		conns:   map[net.Conn]bool{},
	}
	life.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { rep.serve(life, w, r) }),
		ReadHeaderTimeout: 10 * time.Second,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnState: func(c net.Conn, state http.ConnState) {
			life.lock.Lock()
			defer life.lock.Unlock()
			if state == http.StateNew {
				life.conns[c] = true
			}
			if state == http.StateClosed {
				delete(life.conns, c)
			}
		},
	}
	rep.lock.Lock()
	rep.life = life
	rep.lock.Unlock()
	go func() { _ = life.server.Serve(listener) }()
	rep.beat(life)
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				rep.beat(life)
			case <-life.stopped:
				return
			}
		}
	}()
	return nil
}

func (rep *replica) current() *lifetime {
	rep.lock.Lock()
	defer rep.lock.Unlock()
	return rep.life
}

func (rep *replica) beat(life *lifetime) {
	life.lock.Lock()
	life.sequence++
	sequence := life.sequence
	life.lock.Unlock()
	entry := map[string]any{
		"service": rep.service, "address": rep.address, "zone": rep.zone, "version": "v1", "slots": rep.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": life.born,
	}
	if rep.service == engineService {
		entry["stage"] = "both"
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	rep.world.store.put("servers/"+life.id, entry)
}

// crash ends the lifetime: all channels are reset and the address refuses new ones. The registration is removed after three intervals of silence, and a new lifetime starts after the given time.
func (rep *replica) crash(life *lifetime, back time.Duration) {
	rep.lock.Lock()
	if rep.life != life {
		rep.lock.Unlock()
		return
	}
	rep.life = nil
	rep.lock.Unlock()
	close(life.stopped)
	life.lock.Lock()
	for c := range life.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	life.lock.Unlock()
	_ = life.server.Close()
	rep.world.record.line("replica %s crashed", life.id)
	time.AfterFunc(3*beatInterval, func() { rep.world.store.remove("servers/" + life.id) })
	if back > 0 {
		time.AfterFunc(back, func() {
			if err := rep.start(); err != nil {
				rep.world.record.note("a replica can't start again: %v", err)
				return
			}
			rep.world.record.line("replica %s started at the address of %s", rep.current().id, life.id)
		})
	}
}

func (rep *replica) serve(life *lifetime, w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	switch r.URL.Path {
	case "/health":
		h.Set("X-Hickorywick-Instance-Id", life.id)
		return
	case "/hickorywick/kv-list":
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": life.born, "next": 1, "held": []any{}})
		return
	case "/hickorywick/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "busy": false, "sequence": 0, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 500_000, "handles": 0})
		return
	}
	id := r.Header.Get("X-Hickorywick-Request-Id")
	h.Set("X-Hickorywick-Request-Id", id)
	if expected := r.Header.Get("X-Hickorywick-Expect-Instance"); expected != "" && expected != life.id {
		h.Set("X-Hickorywick-Instance-Id", life.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	life.lock.Lock()
	full := life.running >= rep.slots
	if !full {
		life.running++
	}
	load := fmt.Sprintf("%d,0,%d", life.running, rep.slots)
	life.lock.Unlock()
	h.Set("X-Hickorywick-Replica-Load", load)
	if full {
		h.Set("X-Hickorywick-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { life.lock.Lock(); life.running--; life.lock.Unlock() }()
	life.runs.Add(1)
	rep.world.ran(run{
		id:      id,
		replica: life.id,
		service: rep.service,
		path:    r.URL.Path,
		key:     r.Header.Get("Authorization"),
		tenant:  r.Header.Get("X-Hickorywick-Tenant"),
		body:    string(body),
		at:      time.Now(),
	})
	if rep.respond != nil && rep.respond(rep, life, w, r, id) {
		return
	}
	h.Set("X-Hickorywick-Response-Signature", signature(life.id, id))
	if rep.service == engineService {
		rep.stream(w, r, id)
		return
	}
	time.Sleep(rep.work)
	text := plainBody(rep.service, id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func signature(replica, id string) string { return "sig." + replica + "." + id }

func plainBody(service, id string) string {
	return service + " answers " + id + strings.Repeat(" .", 200)
}

// streamEvents is the number of events of each stream, eventInterval the time between two.
const (
	streamEvents  = 15
	eventInterval = 20 * time.Millisecond
)

func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", number, id, number)
}

func streamBody(id string) string {
	var b strings.Builder
	for number := 1; number <= streamEvents; number++ {
		b.WriteString(event(id, number))
	}
	return b.String()
}

func (rep *replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for number := last + 1; number <= streamEvents; number++ {
		time.Sleep(eventInterval)
		if _, err := io.WriteString(w, event(id, number)); err != nil || control.Flush() != nil {
			return
		}
	}
}
