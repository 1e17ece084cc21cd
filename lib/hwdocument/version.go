package hwdocument

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// MaxHistory is the number of earlier versions that a head keeps.
const MaxHistory = 50

// Head is the stored value that identifies the current document of an environment.
// Its version only increases within an era, and its era only increases. OperationID is unique to each write, so that a writer that lost the response can recognise its own write.
type Head struct {
	// Era numbers the history of the store in which the head was written: a store that is restored from a copy assigns its newest versions again.
	Era         uint64         `json:"era,omitempty"`
	Version     uint64         `json:"version"`
	Digest      string         `json:"digest"`
	OperationID string         `json:"operation"`
	Author      string         `json:"author"`
	Written     time.Time      `json:"written"`
	History     []HistoryEntry `json:"history,omitempty"`
}

// HistoryEntry is an earlier version in a head's history.
type HistoryEntry struct {
	Version     uint64    `json:"version"`
	Digest      string    `json:"digest"`
	OperationID string    `json:"operation"`
	Author      string    `json:"author"`
	Written     time.Time `json:"written"`
}

// Digest returns the SHA-256 of a document body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// HeadKey returns the store key of an environment's head.
func HeadKey(environment string) string {
	return "/hickorywick/environments/" + environment + "/head"
}

// BodyKey returns the store key of a document body. Bodies are content-addressed and immutable.
func BodyKey(digest string) string {
	return "/hickorywick/documents/" + digest
}

// Next returns the head of the version that follows h.
func (h Head) Next(now time.Time, digest, operationID, author string) Head {
	history := h.History
	if h.Version > 0 {
		entry := HistoryEntry{
			Version:     h.Version,
			Digest:      h.Digest,
			OperationID: h.OperationID,
			Author:      h.Author,
			Written:     h.Written,
		}
		history = append([]HistoryEntry{entry}, history...)
	}
	return Head{
		Era:         h.Era,
		Version:     h.Version + 1,
		Digest:      digest,
		OperationID: operationID,
		Author:      author,
		Written:     now.UTC(),
		History:     history[:min(len(history), MaxHistory)],
	}
}

// WithEra returns the head as written in the given era of the store.
func (h Head) WithEra(era uint64) Head {
	h.Era = era
	return h
}

// Identity returns what identifies the head's version.
func (h Head) Identity() Version {
	return Version{
		Era:    h.Era,
		Number: h.Version,
		Digest: h.Digest,
	}
}

// Version identifies a version of an environment's document. The zero value stands for no document.
type Version struct {
	// Era numbers the history of the store in which the version was published.
	Era    uint64
	Number uint64
	// Digest is that of the body; see Digest.
	Digest string
}

// Compare compares a version offered by the store or a peer with the current one, v. An instance only adopts newer versions.
func (v Version) Compare(offered Version) VersionOrder {
	switch cmp.Or(cmp.Compare(offered.Era, v.Era), cmp.Compare(offered.Number, v.Number)) {
	case 1:
		return VersionNewer
	case -1:
		return VersionOlder
	}
	if offered.Digest != v.Digest {
		return VersionConflict
	}
	return VersionSame
}

// VersionOrder is the result of comparing an offered version with the current one.
type VersionOrder int

const (
	// VersionNewer means that the offered version is newer.
	VersionNewer VersionOrder = iota
	// VersionSame means that the offered version is the current one.
	VersionSame
	// VersionOlder means that the offered version is older.
	VersionOlder
	// VersionConflict means that the offered version has the current era and number but another digest.
	VersionConflict
)

// Diff describes the changes from one document to another. Each line is an addition ("+") or a removal ("-") of an account, pool, service or objective with its fields under their Go names; a modification is a removal and an addition.
func Diff(before, after *Document) []string {
	var out []string
	out = append(out, diffNamed("account", before.Accounts, after.Accounts, func(a Account) string { return a.Name })...)
	out = append(out, diffNamed("pool", before.Pools, after.Pools, func(p Pool) string { return p.Name })...)
	out = append(out, diffNamed("service", before.Services, after.Services, func(s Service) string { return s.Name })...)
	out = append(out, diffNamed("objective", before.Objectives, after.Objectives, func(o Objective) string { return o.Account + "/" + o.Pool })...)
	return out
}

func diffNamed[T any](kind string, before, after []T, name func(T) string) []string {
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
