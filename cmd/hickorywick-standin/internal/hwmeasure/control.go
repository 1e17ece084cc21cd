package hwmeasure

import (
	"bytes"
	"runtime/pprof"
	"time"

	"github.com/google/pprof/profile"
	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwrouter"
)

// controlProfile samples the process's processor time by what it works for.
type controlProfile struct {
	samples bytes.Buffer
}

func startProfile() (*controlProfile, error) {
	p := &controlProfile{}
	return p, trace.Wrap(pprof.StartCPUProfile(&p.samples))
}

// stop returns the processor time of all routers' control.
func (p *controlProfile) stop() (time.Duration, error) {
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&p.samples)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	control := time.Duration(0)
	for _, sample := range parsed.Sample {
		for _, value := range sample.Label[hwrouter.ProfileWorkLabel] {
			if value == hwrouter.ProfileControlWork {
				// The second value of a processor profile is nanoseconds.
				control += time.Duration(sample.Value[1])
			}
		}
	}
	return control, nil
}
