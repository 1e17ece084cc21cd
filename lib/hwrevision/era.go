package hwrevision

// An era is the count of restorations that the store states, in its lower bits, and above them the number of times that the fleet has corrected the count. A correction thus leads to a higher era, also if the count falls: everything that compares eras takes it for another restoration, and no era ever goes back.
const (
	// MaxStatedEra is the highest count of restorations that a store can state.
	MaxStatedEra = 1 << 32
	// MaxEra is the highest era.
	MaxEra = maxCorrections<<correctionShift | MaxStatedEra

	// correctionShift leaves room for MaxStatedEra below the corrections.
	correctionShift = 33
	// maxCorrections is out of reach: corrections are seconds apart.
	maxCorrections = 1 << 24
	// maxStep is by how much a count may rise in one step. Each restoration raises it by one, but a router may have been cut off during several.
	maxStep = 1024
)

// StatedEra returns the count of restorations in an era.
func StatedEra(era uint64) uint64 { return era & (1<<correctionShift - 1) }

// Corrections returns how often the count of restorations was corrected before an era.
func Corrections(era uint64) uint64 { return era >> correctionShift }

// WithStatedEra returns the era with the same corrections as the given one and another count of restorations.
func WithStatedEra(era, stated uint64) uint64 {
	return Corrections(era)<<correctionShift | stated
}

// Corrected returns the era after the given one in which the count of restorations is corrected, and false if there is none.
func Corrected(era, stated uint64) (uint64, bool) {
	if Corrections(era) >= maxCorrections {
		return 0, false
	}
	return (Corrections(era)+1)<<correctionShift | stated, true
}

// IsNextEra reports whether a store of the given era can be in the next one: in the same one, or after as many restorations or corrections as a router may have missed.
func IsNextEra(era, next uint64) bool {
	switch missed := Corrections(next) - Corrections(era); {
	case next < era:
		return false
	case missed > 0:
		return missed <= maxStep
	default:
		return next-era <= maxStep
	}
}
