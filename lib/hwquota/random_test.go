package hwquota_test

import "math/rand/v2"

// newRandom returns a function that returns reproducible random numbers in [0, 1).
func newRandom(seed uint64) func() float64 { return rand.New(rand.NewPCG(seed, 1)).Float64 }
