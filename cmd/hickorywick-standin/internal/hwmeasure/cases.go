package hwmeasure

import (
	"time"
)

// Cases are the situations of the issue, in its order.
func Cases() []Case {
	return []Case{
		fairnessCase(),
		starvationCase(),
		smallAloneCase(),
		crestCase(),
		lanesCase("short-behind-long", 40*time.Second, true),
		lanesCase("short-behind-long-warm", 90*time.Second, true),
		lanesCase("short-alone", 10*time.Second, false),
		slowCase(false),
		slowCase(true),
		brokerCase(),
		partitionCase(),
		coldStartCase(),
	}
}
