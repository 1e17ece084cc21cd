// Command rig runs one case of the review: the project's own routers as separate processes, with stand-ins of the store, the replicas and the clients.
package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

var discard = log.New(io.Discard, "", 0)

// execution is a request that a replica has begun to run.
type execution struct {
	at        time.Time
	requestID string
	replica   string
	address   string
	service   string
	tenant    string
	key       string
	method    string
	path      string
	body      string
	prefix    string
}

type ports struct{ front, ready, control, fleet int }

type rig struct {
	root    string
	folder  string
	command []string
	record  *record
	store   *store
	block   string
	ports   ports
	routers []*router
	// seeds are the seeds in the settings of all routers; if there are none, the first three routers are the seeds.
	seeds []string
	// engines makes the replicas engines, which answer with streams.
	engines bool

	// crashes reports whether a replica crashes when it begins to run a request, and crashDown is how long it is away then.
	crashes   func(execution) bool
	crashDown time.Duration
	// crashed, if set, is called when a replica has crashed.
	crashed func(at time.Time)

	lock     sync.Mutex
	replicas []*replica
	lastID   int
	runs     []execution
}

func (g *rig) ip(host int) string { return fmt.Sprintf("%s.%d", g.block, host) }

func (g *rig) replicaID() string {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.lastID++
	return fmt.Sprintf("i-%06d", g.lastID)
}

func (g *rig) recordRun(e execution) {
	g.lock.Lock()
	g.runs = append(g.runs, e)
	g.lock.Unlock()
	g.record.printf("run       %s %s %s by replica %s of %s tenant=%q", e.requestID, e.method, e.path, e.replica, e.service, e.tenant)
}

// executions returns the runs so far.
func (g *rig) executions() []execution {
	g.lock.Lock()
	defer g.lock.Unlock()
	return append([]execution(nil), g.runs...)
}

// newRig prepares the folder, the store and the addresses.
func newRig(root, recordPath string) (*rig, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	command := strings.Fields(string(run[1]))
	command[0] = filepath.Join(root, command[0])
	if _, err := os.Stat(command[0]); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	g := &rig{root: root, folder: folder, command: command, record: rec, crashDown: 2500 * time.Millisecond}
	for range 100 {
		g.block = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + 20*rand.IntN(500)
		g.ports = ports{front: base, ready: base + 1, control: base + 2, fleet: base + 4}
		if g.free() {
			break
		}
	}
	g.store, err = newStore(g.ip(200))
	return g, err
}

// free reports whether the ports of the first router are free.
func (g *rig) free() bool {
	for _, port := range []int{g.ports.front, g.ports.ready, g.ports.control, g.ports.fleet, 9180} {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", g.ip(1), port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// zones are those of the small deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// addRouters starts the routers of the small deployment.
func (g *rig) addRouters(count int) error {
	seeds := g.seeds
	for i := range min(count, 3) {
		if len(g.seeds) == 0 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", g.ip(i+1), g.ports.control))
		}
	}
	for i := range count {
		r := &router{rig: g, name: fmt.Sprintf("front-%d", i+1), ip: g.ip(i + 1), zone: zones[i%len(zones)], seeds: seeds}
		g.routers = append(g.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all routers are ready.
func (g *rig) waitReady() error {
	for _, r := range g.routers {
		if !r.waitReady(20 * time.Second) {
			return fmt.Errorf("router %s is not ready", r.name)
		}
	}
	return nil
}

func (g *rig) addReplicas(service string, count, slots int) error {
	for i := range count {
		p := &replica{rig: g, service: service, zone: zones[i%len(zones)], slots: slots}
		if err := p.start(); err != nil {
			return err
		}
		g.replicas = append(g.replicas, p)
	}
	return nil
}

// killAll kills all routers at the same moment and starts them again after a short delay.
func (g *rig) killAll() error {
	g.record.tee("all routers are killed")
	for _, r := range g.routers {
		r.signal(killSignal)
	}
	for _, r := range g.routers {
		r.waitExit()
	}
	time.Sleep(300 * time.Millisecond)
	for _, r := range g.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := g.waitReady(); err != nil {
		return err
	}
	g.record.tee("all routers are back and ready")
	return nil
}

// close ends all processes that this program started and removes the folder.
func (g *rig) close() {
	for _, r := range g.routers {
		r.signal(killSignal)
	}
	for _, r := range g.routers {
		r.waitExit()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.folder)
	} else {
		fmt.Println("folder", g.folder)
	}
}
