package hwdocument

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// HistoryLength is how many earlier versions a head remembers.
const HistoryLength = 50

// Head is the single value that says which document is in force in an environment.
// Its version only rises. Operation is the unique id of the write, by which a writer recognises its own lost write.
type Head struct {
	Version   uint64    `json:"version"`
	Digest    string    `json:"digest"`
	Operation string    `json:"operation"`
	Author    string    `json:"author"`
	Written   time.Time `json:"written"`
	History   []Past    `json:"history,omitempty"`
}

// Past is an earlier version.
type Past struct {
	Version   uint64    `json:"version"`
	Digest    string    `json:"digest"`
	Operation string    `json:"operation"`
	Author    string    `json:"author"`
	Written   time.Time `json:"written"`
}

// Digest returns the name of a document body: the SHA-256 of its bytes in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// HeadKey returns the store key of an environment's head.
func HeadKey(environment string) string {
	return "/hickorywick/environments/" + environment + "/head"
}

// BodyKey returns the store key of a document body. Bodies are named by their digest and never change.
func BodyKey(digest string) string {
	return "/hickorywick/documents/" + digest
}

// Next returns the head that follows h.
func (h Head) Next(now time.Time, digest, operation, author string) Head {
	history := h.History
	if h.Version > 0 {
		past := Past{
			Version:   h.Version,
			Digest:    h.Digest,
			Operation: h.Operation,
			Author:    h.Author,
			Written:   h.Written,
		}
		history = append([]Past{past}, history...)
	}
	return Head{
		Version:   h.Version + 1,
		Digest:    digest,
		Operation: operation,
		Author:    author,
		Written:   now.UTC(),
		History:   history[:min(len(history), HistoryLength)],
	}
}

// Verdict is the decision on an offered version.
type Verdict int

const (
	// Adopt means that the offered version is newer.
	Adopt Verdict = iota
	// Same means that the offered version is in force already.
	Same
	// Older means that the offered version lies behind the one in force.
	Older
	// Conflict means that the version in force was offered with another digest.
	Conflict
)

// Offer decides about a version offered by the store or a peer. An instance only moves up.
func Offer(inForce uint64, digestInForce string, offered uint64, digest string) Verdict {
	switch {
	case offered > inForce:
		return Adopt
	case offered < inForce:
		return Older
	case digest != digestInForce:
		return Conflict
	default:
		return Same
	}
}

// Diff describes what changes from one document to another, one line a change, in kebab-case fields.
func Diff(before, after *Document) []string {
	var out []string
	out = append(out, diffBy("account", before.Accounts, after.Accounts, func(a Account) string { return a.Name })...)
	out = append(out, diffBy("pool", before.Pools, after.Pools, func(p Pool) string { return p.Name })...)
	out = append(out, diffBy("service", before.Services, after.Services, func(s Service) string { return s.Name })...)
	out = append(out, diffBy("objective", before.Objectives, after.Objectives, func(o Objective) string { return o.Account + "/" + o.Pool })...)
	return out
}

func diffBy[T any](kind string, before, after []T, name func(T) string) []string {
	var out []string
	old := map[string]string{}
	for _, item := range before {
		old[name(item)] = fmt.Sprintf("%+v", item)
	}
	for _, item := range after {
		text := fmt.Sprintf("%+v", item)
		previous, known := old[name(item)]
		switch {
		case !known:
			out = append(out, "+ "+kind+" "+name(item)+" "+text)
		case previous != text:
			out = append(out, "- "+kind+" "+name(item)+" "+previous, "+ "+kind+" "+name(item)+" "+text)
		}
		delete(old, name(item))
	}
	for _, item := range before {
		if text, gone := old[name(item)]; gone {
			out = append(out, "- "+kind+" "+name(item)+" "+text)
		}
	}
	return out
}
