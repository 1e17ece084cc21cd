// Command standin plays one case of the review: it starts the program of the deploy file as separate processes on loopback addresses, with stand-ins of the platform, the replicas and the clients, and judges what the clients and the replicas saw.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host          = "review.example"
	engineService = "engine"
)

// run is one request that a replica began to work on.
type run struct {
	id, replica, service, path, key, tenant, body string
	at                                            time.Time
}

// world is the system under test with all stand-ins.
type world struct {
	record   *record
	folder   string
	network  string
	trouble  string
	zones    []string
	store    *store
	routers  []*router
	replicas []*replica

	nextReplica, nextRequest atomic.Int64

	lock     sync.Mutex
	runs     []run
	requests []*request
}

// troubled reports whether the disruption is on.
func (w *world) troubled() bool { return w.trouble != "0" }

func (w *world) ip(number int) string { return fmt.Sprintf("%s.%d", w.network, number) }

func (w *world) ran(r run) {
	w.record.line("%s %s runs at %s", r.id, r.path, r.replica)
	w.lock.Lock()
	defer w.lock.Unlock()
	w.runs = append(w.runs, r)
}

// runsByRequest returns the runs of each request.
func (w *world) runsByRequest() map[string][]run {
	w.lock.Lock()
	defer w.lock.Unlock()
	byID := map[string][]run{}
	for _, r := range w.runs {
		byID[r.id] = append(byID[r.id], r)
	}
	return byID
}

// allRequests returns the requests that have ended.
func (w *world) allRequests() []*request {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]*request(nil), w.requests...)
}

// startRouters starts processes and waits until all are ready.
func (w *world) startRouters(count int) error {
	for number := 1; number <= count; number++ {
		if err := w.addRouter(number); err != nil {
			return err
		}
	}
	for _, r := range w.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	return w.waitReady(15 * time.Second)
}

func (w *world) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, r := range w.routers {
		for !r.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after %s", r.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// route returns a route of the configuration.
func route(prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 4000, "sloMs": 500,
		"priority": 1, "maxAttempts": attempts, "public": false, "sessionAffinity": kind == "streaming", "resumable": false, "gapAimMs": 300,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
}

func engines() map[string]any {
	return map[string]any{"name": engineService, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kvTokens": 542364, "kvBytes": 35136, "linkMbps": 180000.0, "moves": true, "backups": true, "stride": 3, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}}
}

// configure writes a configuration and returns when it was acknowledged.
func (w *world) configure(version int, routes, services []any, tenants any) time.Time {
	config := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 270000},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	return w.store.put("op/config", config)
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(playCase(play, os.Args[2]))
}

func playCase(play func(*world) (bool, error), folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Println("logs of the processes:", temporary)
	}
	w := &world{
		record:  rec,
		folder:  temporary,
		trouble: os.Getenv("TROUBLE"),
		zones:   []string{"lo-a", "lo-b", "lo-c"},
		store:   newStore(),
	}
	if w.network, err = freeNetwork(); err != nil {
		rec.note("can't run: %v", err)
		return 2
	}
	endAll := func() {
		for _, r := range w.routers {
			r.kill()
		}
	}
	defer endAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		endAll()
		os.Exit(2)
	}()
	broken, err := play(w)
	switch {
	case err != nil:
		rec.note("can't run: %v", err)
		return 2
	case broken:
		rec.note("the rule was broken")
		return 1
	default:
		rec.note("the rule held")
		return 0
	}
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports of a machine are free.
func freeNetwork() (string, error) {
	seed := os.Getpid()
	for attempt := range 20 {
		network := fmt.Sprintf("127.%d.%d", 30+(seed+attempt)%180, 1+(seed/180+attempt)%250)
		free := true
		for number := 1; number <= 5; number++ {
			for _, port := range []string{"8783", "8780", "7400", "9180"} {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%s", network, number, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}
