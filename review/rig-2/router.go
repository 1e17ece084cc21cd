package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// router is one process of the system, started with the command of the deploy file.
type router struct {
	rig   *rig
	name  string
	ip    string
	zone  string
	seeds []string

	lock    sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// startedAt is when the present process was started.
	startedAt time.Time
}

const settingsText = `nodeName = "%[1]s"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "region-1"
portRange = [%[4]d,%[5]d]
seeds = [%[6]s]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
front = "%[2]s:%[7]d"
ready = "%[2]s:%[8]d"
control = "%[2]s:%[9]d"
[limits]
cpuShare = 0.608
cores = 1
memoryMb = 414
maxFds = 6150
linkMbps = 1500.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configApplyMs = 2000
backMs = 250
outerMs = 5000
revokeStrict = true
revokeMs = 5000
retryRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
recoverS = 12
passMs = 120
againS = 10
quotaWindowS = 4
[provider]
address = "%[10]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

func (r *router) front() string { return fmt.Sprintf("%s:%d", r.ip, r.rig.ports.front) }

func (r *router) writeSettings() (string, error) {
	var seeds []string
	for _, seed := range r.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", seed))
	}
	p := r.rig.ports
	text := fmt.Sprintf(settingsText, r.name, r.ip, r.zone, p.fleet, p.fleet+15, strings.Join(seeds, ","), p.front, p.ready, p.control, r.rig.store.address)
	path := filepath.Join(r.rig.folder, r.name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func (r *router) start() error {
	path, err := r.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.rig.folder, r.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.lock.Lock()
	defer r.lock.Unlock()
	command := exec.Command(r.rig.command[0], r.rig.command[1:]...)
	command.Dir = r.rig.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYWICK_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.process, r.exited, r.startedAt = command, exited, time.Now()
	go func() {
		err := command.Wait()
		r.rig.record.printf("router %s has ended: %v", r.name, describeExit(err))
		close(exited)
	}()
	return nil
}

func describeExit(err error) string {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.String()
	}
	return "exit status 0"
}

func (r *router) processStart() time.Time {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.startedAt
}

// signal sends a signal to the process that this program started.
func (r *router) signal(s syscall.Signal) {
	r.lock.Lock()
	defer r.lock.Unlock()
	select {
	case <-r.exited:
	default:
		_ = r.process.Process.Signal(s)
	}
}

func (r *router) waitExit() {
	r.lock.Lock()
	exited := r.exited
	r.lock.Unlock()
	<-exited
}

// waitReady waits until the readiness question is answered with 200.
func (r *router) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/hickorywick/readiness", r.ip, r.rig.ports.ready))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
