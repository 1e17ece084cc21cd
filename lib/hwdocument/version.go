package hwdocument

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// MaxHistory is how many earlier versions a head remembers.
const MaxHistory = 50

// Head is the single value that says which document is in force in an environment.
// Its version only rises. Operation is the unique id of the write, by which a writer recognises its own lost write.
type Head struct {
	Version     uint64         `json:"version"`
	Digest      string         `json:"digest"`
	OperationID string         `json:"operation"`
	Author      string         `json:"author"`
	Written     time.Time      `json:"written"`
	History     []HistoryEntry `json:"history,omitempty"`
}

// HistoryEntry is an earlier version.
type HistoryEntry struct {
	Version     uint64    `json:"version"`
	Digest      string    `json:"digest"`
	OperationID string    `json:"operation"`
	Author      string    `json:"author"`
	Written     time.Time `json:"written"`
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
		past := HistoryEntry{
			Version:     h.Version,
			Digest:      h.Digest,
			OperationID: h.OperationID,
			Author:      h.Author,
			Written:     h.Written,
		}
		history = append([]HistoryEntry{past}, history...)
	}
	return Head{
		Version:     h.Version + 1,
		Digest:      digest,
		OperationID: operation,
		Author:      author,
		Written:     now.UTC(),
		History:     history[:min(len(history), MaxHistory)],
	}
}

// VersionOrder is the decision on an offered version.
type VersionOrder int

const (
	// VersionNewer means that the offered version is newer.
	VersionNewer VersionOrder = iota
	// VersionSame means that the offered version is in force already.
	VersionSame
	// VersionOlder means that the offered version lies behind the one in force.
	VersionOlder
	// VersionConflict means that the version in force was offered with another digest.
	VersionConflict
)

// CompareVersions decides about a version offered by the store or a peer. An instance only moves up.
func CompareVersions(inForce uint64, digestInForce string, offered uint64, digest string) VersionOrder {
	switch {
	case offered > inForce:
		return VersionNewer
	case offered < inForce:
		return VersionOlder
	case digest != digestInForce:
		return VersionConflict
	default:
		return VersionSame
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
