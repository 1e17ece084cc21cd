package hwdocument

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/hickorywick/hickorywick/lib/hwcheck"
)

// CheckBody checks a document beyond what Decode refuses. It returns the document in the form that hwcheck compares, and false if the document can't be decoded.
func CheckBody(body []byte) (hwcheck.Configuration, []hwcheck.Finding, bool) {
	document, err := Decode(body)
	if err != nil {
		return hwcheck.Configuration{}, findings(err), false
	}
	lines := map[string]int{}
	var root yaml.Node
	if yaml.Unmarshal(body, &root) == nil {
		lines = fieldLines(&root)
	}
	configuration := document.configuration(lines)
	return configuration, hwcheck.Check(configuration, hwcheck.Options{
		RetryRatio: -1,
	}), true
}

// findings converts the error of Decode.
func findings(err error) []hwcheck.Finding {
	var errs ValidationErrors
	if !errors.As(err, &errs) || len(errs) == 0 {
		errs = ValidationErrors{validationError(1, "document", err.Error())}
	}
	all := make([]hwcheck.Finding, 0, len(errs))
	for _, item := range errs {
		all = append(all, hwcheck.Finding{
			Severity: hwcheck.Error,
			Place: hwcheck.Place{
				Line:  item.Line,
				Field: item.Field,
			},
			Kind: findingKind(item),
			Text: item.Message,
		})
	}
	return all
}

// findingKind returns the kind of finding for a validation error.
func findingKind(item ValidationError) hwcheck.Kind {
	names := func(field string) bool {
		return strings.HasSuffix(item.Field, "."+field) || strings.Contains(item.Field, "."+field+"[")
	}
	repeats := strings.HasPrefix(item.Message, "repeats ")
	switch {
	case item.Field == "document":
		return hwcheck.Syntax
	case repeats && names("key-sha256"):
		return hwcheck.DuplicateKey
	case repeats:
		return hwcheck.DuplicateName
	case names("key-sha256") && strings.HasPrefix(item.Message, "must contain"):
		return hwcheck.AccountWithoutKey
	case names("share"):
		return hwcheck.ShareZero
	case names("pool") || names("pools"):
		return hwcheck.MissingPool
	default:
		return hwcheck.InvalidValue
	}
}

// configuration returns the document in the form that hwcheck checks and compares. Lines are those of the fields.
func (d *Document) configuration(lines map[string]int) hwcheck.Configuration {
	place := func(format string, values ...any) hwcheck.Place {
		field := fmt.Sprintf(format, values...)
		return hwcheck.Place{
			Line:  lines[field],
			Field: field,
		}
	}
	c := hwcheck.Configuration{
		Environment:   d.Environment,
		RequiresKeys:  true,
		AccountsPlace: place("accounts"),
		Place:         place("environment"),
	}
	for i, a := range d.Accounts {
		account := hwcheck.Account{
			Name:  a.Name,
			Share: &a.Share,
			Pools: a.Pools,
			Fields: []hwcheck.Field{
				hwcheck.Number("queue-bound", float64(a.QueueBound)),
			},
			Place: place("accounts[%d]", i),
		}
		for j, digest := range a.KeySHA256 {
			account.Keys = append(account.Keys, hwcheck.Key{
				Hash:  hwcheck.ShortHash(strings.ToLower(digest)),
				Place: place("accounts[%d].key-sha256[%d]", i, j),
			})
		}
		c.Accounts = append(c.Accounts, account)
	}
	for i, p := range d.Pools {
		c.Pools = append(c.Pools, hwcheck.Pool{
			Name:          p.Name,
			ServesModels:  p.Kind == KindEngine,
			HasNoCapacity: p.Capacity() == 0,
			QueueLimit:    p.QueueTimeout.Std(),
			TimeLimit:     p.AnswerTimeout.Std(),
			Fields:        poolFields(p),
			Place:         place("pools[%d]", i),
		})
	}
	for i, s := range d.Services {
		for j, r := range s.Routes {
			c.Routes = append(c.Routes, hwcheck.Route{
				Name:    s.Name + " " + r.Path,
				Scope:   s.Name,
				Prefix:  r.Path,
				Methods: r.Methods,
				Targets: []hwcheck.Target{
					{
						Pool:   s.Pool,
						Weight: 1,
						Place:  place("services[%d].pool", i),
					},
				},
				TimeLimit:  r.Deadline.Std(),
				Repeatable: r.Idempotent,
				Place:      place("services[%d].routes[%d]", i, j),
			})
		}
	}
	for i, o := range d.Objectives {
		c.Objectives = append(c.Objectives, hwcheck.Objective{
			Account: o.Account,
			Pool:    o.Pool,
			Within:  o.Within.Std(),
			Target:  o.Target,
			Place:   place("objectives[%d]", i),
		})
	}
	return c
}

// poolFields returns the fields of a pool that are only compared.
func poolFields(p Pool) []hwcheck.Field {
	resumes := 0.0
	if p.ResumesStreams {
		resumes = 1
	}
	models := append([]string(nil), p.Models...)
	sort.Strings(models)
	upstreams := make([]string, 0, len(p.Upstreams))
	for _, u := range p.Upstreams {
		text := fmt.Sprintf("%s in %s with %d", u.Address, u.Zone, p.SlotLimit(u))
		if u.Draining {
			text += " draining"
		}
		if u.ChecksFencing {
			text += " fenced"
		}
		upstreams = append(upstreams, text)
	}
	sort.Strings(upstreams)
	return []hwcheck.Field{
		hwcheck.Text("kind", string(p.Kind)),
		hwcheck.Text("models", strings.Join(models, ", ")),
		hwcheck.Number("slots", float64(p.Capacity())),
		hwcheck.Number("prompt-weight", p.PromptWeight),
		hwcheck.Number("generated-weight", p.GeneratedWeight),
		hwcheck.Number("millisecond-weight", p.MillisecondWeight),
		hwcheck.Number("largest-cost", p.LargestCost),
		hwcheck.Duration("queue-timeout", p.QueueTimeout.Std()),
		hwcheck.Duration("progress-limit", p.ProgressTimeout.Std()),
		hwcheck.Duration("answer-timeout", p.AnswerTimeout.Std()),
		{
			Name:   "resumes-streams",
			Text:   fmt.Sprint(p.ResumesStreams),
			Number: resumes,
		},
		hwcheck.Text("upstreams", strings.Join(upstreams, ", ")),
	}
}
