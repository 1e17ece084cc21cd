package hwmeasure

import (
	"time"
)

// Cases returns all cases in the order in which they run.
func Cases() []Case {
	return []Case{
		fairnessCase(),
		starvationCase(),
		smallAccountBaselineCase(),
		surgeCase(),
		lanesCase("short-behind-long", 40*time.Second, true),
		lanesCase("short-behind-long-warm", 90*time.Second, true),
		lanesCase("short-alone", 10*time.Second, false),
		slowUpstreamCase(false),
		slowUpstreamCase(true),
		brokerFailureCase(),
		partitionCase(),
		coldStartCase(),
	}
}
