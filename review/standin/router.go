package main

import (
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

// router is a process of the system under test on a machine of its own, which is a loopback address.
type router struct {
	world *world
	name  string
	ip    string
	zone  string
	door  *storeDoor

	lock    sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

const settingsText = `nodeName = "%[1]s"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "lo"
portRange = [7400,7415]
seeds = [%[4]s]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
lo-a = "lo"
lo-b = "lo"
lo-c = "lo"
[listen]
front = "%[2]s:8783"
ready = "%[2]s:8780"
control = "%[2]s:8785"
[limits]
cpuShare = 0.8
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
address = "%[5]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

func (w *world) addRouter(number int) error {
	r := &router{
		world: w,
		name:  fmt.Sprintf("front-%d", number),
		ip:    w.ip(number),
		zone:  w.zones[(number-1)%len(w.zones)],
	}
	door, err := w.store.open(w.ip(200))
	if err != nil {
		return err
	}
	r.door = door
	w.routers = append(w.routers, r)
	return nil
}

// deployCommand returns the words of the run command in the deploy file.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run command")
}

func (r *router) start() error {
	words, err := deployCommand()
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range r.world.routers[:min(3, len(r.world.routers))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.ip+":8785"))
	}
	path := filepath.Join(r.world.folder, r.name+".toml")
	text := fmt.Sprintf(settingsText, r.name, r.ip, r.zone, strings.Join(seeds, ","), r.door.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.log == nil {
		if r.log, err = os.Create(filepath.Join(r.world.folder, r.name+".log")); err != nil {
			return err
		}
	}
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "HICKORYWICK_BOOT=" + path}
	command.Stdout, command.Stderr = r.log, r.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.command, r.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (r *router) signal(s syscall.Signal) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.command != nil {
		_ = r.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGKILL)
	r.lock.Lock()
	exited := r.exited
	r.lock.Unlock()
	if exited != nil {
		<-exited
	}
}

func (r *router) front() string { return r.ip + ":8783" }

// ready asks the process whether it is ready.
func (r *router) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + r.ip + ":8780/hickorywick/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
