package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const killSignal = syscall.SIGKILL

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(g *rig, trouble bool) (bool, error){
	"crashing-request": crashingRequest,
	"deadly-part":      deadlyPart,
	"stale-seeds":      staleSeeds,
	"last-tenant":      lastTenant,
	"outage":           outageRetainsGone,
}

func main() {
	name := flag.String("case", "", "the case to run")
	root := flag.String("root", ".", "the root of the repository")
	path := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	run, found := cases[*name]
	if !found {
		fmt.Println("unknown case", *name)
		os.Exit(failed)
	}
	g, err := newRig(*root, *path)
	if err != nil {
		fmt.Println("the case can't run:", err)
		os.Exit(failed)
	}
	// A case that hangs must not leave processes behind.
	time.AfterFunc(115*time.Second, func() {
		g.record.tee("the case took too long")
		g.close()
		os.Exit(failed)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		g.record.tee("the case was stopped")
		g.close()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	violated, err := run(g, trouble)
	g.close()
	switch {
	case err != nil:
		g.record.tee("the case couldn't run: %v", err)
		os.Exit(failed)
	case violated:
		g.record.tee("the rule was broken")
		os.Exit(broken)
	}
	g.record.tee("the rule held")
	os.Exit(held)
}
