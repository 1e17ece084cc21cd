package hwmeasure

import (
	"bytes"
	"runtime/pprof"
	"time"

	"github.com/google/pprof/profile"
	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwrouter"
)

// controlPlaneProfile records a CPU profile, from which the CPU time of control-plane work is computed by profile label.
type controlPlaneProfile struct {
	samples bytes.Buffer
}

func startProfile() (*controlPlaneProfile, error) {
	p := &controlPlaneProfile{}
	return p, trace.Wrap(pprof.StartCPUProfile(&p.samples))
}

// stop ends the profile and returns the CPU time that all routers spent on control-plane work.
func (p *controlPlaneProfile) stop() (time.Duration, error) {
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&p.samples)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	controlCPU := time.Duration(0)
	for _, sample := range parsed.Sample {
		for _, value := range sample.Label[hwrouter.ProfileWorkLabel] {
			if value == hwrouter.ProfileControlWork {
				// The second value of a CPU profile sample is its CPU time in nanoseconds.
				controlCPU += time.Duration(sample.Value[1])
			}
		}
	}
	return controlCPU, nil
}
