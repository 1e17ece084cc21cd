// Package hwscenarios runs the scripted scenarios. Each script reads like a page of the operators' handbook.
package hwscenarios

import (
	"os"
	"testing"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwscript"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwkratos"
)

func TestMain(m *testing.M) {
	// The library's own lines say nothing about a scenario.
	klog.SetLogger(hwkratos.New(hwevent.Discard()))
	os.Exit(m.Run())
}

type stageKey struct{}

// holder carries a scenario's stage between its commands.
type holder struct {
	stage *hwscript.Scenario
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "scripts",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			h := &holder{}
			env.Values[stageKey{}] = h
			env.Defer(func() {
				if h.stage != nil {
					h.stage.Close()
				}
			})
			return nil
		},
		Cmds: commands(),
	})
}

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	all := map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"fleet": func(ts *testscript.TestScript, _ bool, args []string) {
			stage, err := hwscript.NewScenario(hwscript.Parse(args))
			ts.Check(err)
			ts.Value(stageKey{}).(*holder).stage = stage
		},
	}
	for name, command := range hwscript.Commands() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			stage := ts.Value(stageKey{}).(*holder).stage
			err := command(stage, hwscript.Parse(args))
			switch {
			case neg && err == nil:
				ts.Fatalf("%s held although it should not", name)
			case !neg && err != nil:
				ts.Logf("%s", stage.Log())
				ts.Fatalf("%v", err)
			}
		}
	}
	return all
}
