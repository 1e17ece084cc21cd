// Package hwscenarios runs the scripted end-to-end scenarios. Each script is written to be readable as an operational procedure.
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
	// Discards the log of the kratos library, which is irrelevant to the scenarios.
	klog.SetLogger(hwkratos.New(hwevent.Discard()))
	os.Exit(m.Run())
}

type scenarioKey struct{}

// scenarioHolder passes the scenario from one script command to the next.
type scenarioHolder struct {
	scenario *hwscript.Scenario
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "scripts",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			h := &scenarioHolder{}
			env.Values[scenarioKey{}] = h
			env.Defer(func() {
				if h.scenario != nil {
					h.scenario.Close()
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
			scenario, err := hwscript.NewScenario(hwscript.Parse(args))
			ts.Check(err)
			ts.Value(scenarioKey{}).(*scenarioHolder).scenario = scenario
		},
	}
	for name, command := range hwscript.Commands() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			scenario := ts.Value(scenarioKey{}).(*scenarioHolder).scenario
			err := command(scenario, hwscript.Parse(args))
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded although it must fail", name)
			case !neg && err != nil:
				ts.Logf("%s", scenario.Log())
				ts.Fatalf("%v", err)
			}
		}
	}
	return all
}
