package hwcheck

// Decoder checks one configuration. It returns false if the configuration can't be decoded, and then at least one error.
type Decoder func(body []byte) (Configuration, []Finding, bool)

// Input is a configuration that was read.
type Input struct {
	// Name is the path of a file, or another name for the place that it was read from.
	Name string
	Body []byte
	// Err is why it could not be read, or nil.
	Err error
	// Absent means that there is none, as before the first one is put in force.
	Absent bool
}

// NewReport checks a configuration, and compares it with another version unless that is nil.
func NewReport(decode Decoder, input Input, against *Input) Report {
	report := Report{
		File: input.Name,
	}
	fail := func(name string, kind Kind, text string) Report {
		report.Findings = append(report.Findings, Finding{
			Severity: Error,
			Place: Place{
				File: name,
			},
			Kind: kind,
			Text: text,
		})
		return report
	}
	if against != nil {
		report.Against = against.Name
	}
	if input.Err != nil {
		return fail(input.Name, Unreadable, input.Err.Error())
	}
	after, findings, decoded := decode(input.Body)
	report.add(input.Name, findings)
	if against == nil || !decoded {
		return report
	}
	if against.Err != nil {
		return fail(against.Name, ComparisonNotAvailable, against.Err.Error())
	}
	before := Configuration{
		Environment: after.Environment,
	}
	if !against.Absent {
		var others []Finding
		if before, others, decoded = decode(against.Body); !decoded {
			report.add(against.Name, others)
			return fail(against.Name, ComparisonNotAvailable, "the other version can't be decoded")
		}
	}
	report.Compared = true
	report.Changes = Compare(before, after)
	report.add(input.Name, CheckVersions(before, after))
	SortFindings(report.Findings)
	return report
}

// add adds findings of a file.
func (r *Report) add(file string, findings []Finding) {
	for _, f := range findings {
		f.Place.File = file
		r.Findings = append(r.Findings, f)
	}
}
