// Package hwcheck checks a configuration before it is put in force: contradictions, entries that can never match, and what would change for callers. It reads nothing and sends nothing; the formats of configurations are decoded elsewhere.
package hwcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/gravitational/trace"
)

// Severity states whether a configuration can be put in force despite a finding.
type Severity string

const (
	// Error is a finding that makes the configuration unusable, or that makes callers fail.
	Error Severity = "error"
	// Warning is a finding that is probably not intended.
	Warning Severity = "warning"
)

// Kind is the stable name of a sort of finding, in kebab case.
type Kind string

// The kinds of findings.
const (
	Unreadable             Kind = "unreadable"
	Syntax                 Kind = "syntax"
	WrongType              Kind = "wrong-type"
	InvalidValue           Kind = "invalid-value"
	RepeatedField          Kind = "repeated-field"
	DuplicateName          Kind = "duplicate-name"
	DuplicateKey           Kind = "duplicate-key"
	EmptyKey               Kind = "empty-key"
	AccountWithoutKey      Kind = "account-without-key"
	NoAccount              Kind = "no-account"
	ShareZero              Kind = "share-zero"
	MissingPool            Kind = "missing-pool"
	UnusedPool             Kind = "unused-pool"
	PoolWithoutCapacity    Kind = "pool-without-capacity"
	QueueAboveTimeLimit    Kind = "queue-above-time-limit"
	RouteShadowed          Kind = "route-shadowed"
	RouteNeverMatches      Kind = "route-never-matches"
	TargetWithoutWeight    Kind = "target-without-weight"
	NoTargetWithWeight     Kind = "no-target-with-weight"
	LimitNotPositive       Kind = "limit-not-positive"
	ObjectiveAboveLimit    Kind = "objective-above-time-limit"
	ObjectiveNeverApplies  Kind = "objective-never-applies"
	AttemptsAboveRatio     Kind = "attempts-above-retry-ratio"
	ResumableNotStreaming  Kind = "resumable-not-streaming"
	VersionNotRaised       Kind = "version-not-raised"
	EnvironmentsDiffer     Kind = "environments-differ"
	ComparisonNotAvailable Kind = "comparison-not-available"
)

// Place is where a finding is: a line and column of a file, counted from 1, or 0 if they are not known, and the path of the field such as "routes[0].prefix".
type Place struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Field  string `json:"field,omitempty"`
}

// String returns the place as "FILE:LINE:COLUMN: FIELD", without the parts that are not known.
func (p Place) String() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Column > 0 {
		text += fmt.Sprintf(":%d", p.Column)
	}
	if p.Field != "" {
		text += ": " + p.Field
	}
	return strings.TrimPrefix(text, ": ")
}

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    Place    `json:"place"`
	Kind     Kind     `json:"kind"`
	Text     string   `json:"text"`
}

// Subject is what a change is about.
type Subject string

// The subjects of changes.
const (
	RouteSubject     Subject = "route"
	AccountSubject   Subject = "account"
	KeySubject       Subject = "key"
	PoolSubject      Subject = "pool"
	ObjectiveSubject Subject = "objective"
	LimitSubject     Subject = "limit"
)

// Action is what happened to a subject.
type Action string

// The actions of changes.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is a difference from another version, with the effect that callers will notice, or an empty one if they will notice none. Field, Before and After are empty unless a field changed.
type Change struct {
	Subject Subject `json:"subject"`
	Name    string  `json:"name"`
	Action  Action  `json:"action"`
	Field   string  `json:"field,omitempty"`
	Before  string  `json:"before,omitempty"`
	After   string  `json:"after,omitempty"`
	Effect  string  `json:"effect,omitempty"`
}

// Report is the result of a check. Compared tells whether changes were looked for.
type Report struct {
	File     string    `json:"file"`
	Against  string    `json:"against,omitempty"`
	Compared bool      `json:"compared"`
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
}

// The exit statuses of a check.
const (
	ExitSound    = 0
	ExitWarnings = 1
	ExitErrors   = 2
)

// ExitStatus returns the exit status of a program that printed the report. Warnings count only if strict.
func (r Report) ExitStatus(strict bool) int {
	errors, warnings := r.count()
	switch {
	case errors > 0:
		return ExitErrors
	case warnings > 0 && strict:
		return ExitWarnings
	default:
		return ExitSound
	}
}

// count returns the numbers of errors and of warnings.
func (r Report) count() (errors, warnings int) {
	for _, f := range r.Findings {
		if f.Severity == Error {
			errors++
		} else {
			warnings++
		}
	}
	return errors, warnings
}

// StatusError makes a program end with a status other than 0. The report that was printed says why.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("check ended with status %d", e.Status) }

// Print writes the report as text, or as JSON if asked to, and returns a StatusError unless the exit status is 0.
func (r Report) Print(w io.Writer, asJSON, strict bool) error {
	write := r.WriteText
	if asJSON {
		write = r.WriteJSON
	}
	if err := write(w); err != nil {
		return err
	}
	if status := r.ExitStatus(strict); status != ExitSound {
		return &StatusError{
			Status: status,
		}
	}
	return nil
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	if r.Changes == nil {
		r.Changes = []Change{}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return trace.Wrap(encoder.Encode(r))
}

// WriteText writes the report for people: a line for each finding and each change, and a summary. Control characters from the configuration are replaced.
func (r Report) WriteText(w io.Writer) error {
	var text strings.Builder
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(&text, "%s: %s: %s (%s)\n", f.Place, f.Severity, printable(f.Text), f.Kind)
	}
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(&text, "%s %s %s", c.Subject, printable(c.Name), c.Action)
		if c.Field != "" {
			_, _ = fmt.Fprintf(&text, ": %s from %s to %s", c.Field, valueText(c.Before), valueText(c.After))
		}
		if c.Effect != "" {
			_, _ = fmt.Fprintf(&text, "; %s", printable(c.Effect))
		}
		text.WriteByte('\n')
	}
	errors, warnings := r.count()
	_, _ = fmt.Fprintf(&text, "%s: errors: %d, warnings: %d", r.File, errors, warnings)
	if r.Compared {
		_, _ = fmt.Fprintf(&text, ", changes: %d", len(r.Changes))
	}
	text.WriteByte('\n')
	_, err := io.WriteString(w, text.String())
	return trace.Wrap(err)
}

// valueText returns a value for people.
func valueText(value string) string {
	if value == "" {
		return "nothing"
	}
	return printable(value)
}

// printable replaces control characters.
func printable(text string) string {
	return strings.Map(func(c rune) rune {
		if unicode.IsControl(c) {
			return unicode.ReplacementChar
		}
		return c
	}, text)
}
