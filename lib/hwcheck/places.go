package hwcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
)

// Lines finds the line and column of offsets in a text.
type Lines struct {
	starts []int
}

// NewLines indexes a text.
func NewLines(text []byte) Lines {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return Lines{
		starts: starts,
	}
}

// At returns the place of the byte at an offset.
func (l Lines) At(offset int, field string) Place {
	line := sort.SearchInts(l.starts, offset+1)
	return Place{
		Line:   line,
		Column: offset - l.starts[line-1] + 1,
		Field:  field,
	}
}

// Places are the places of the values of a JSON text by field path.
type Places map[string]Place

// Find returns the place of a field, or that of its nearest parent that is there.
func (p Places) Find(field string) Place {
	for at := field; ; at = at[:max(strings.LastIndexAny(at, ".["), 0)] {
		if place, known := p[at]; known {
			place.Field = field
			return place
		}
		if at == "" {
			return Place{
				Field: field,
			}
		}
	}
}

// JSONPlaces returns the places of all values of a JSON text, and findings for a text that is not valid, or in which an object has a field twice: only the last one counts.
func JSONPlaces(text []byte) (Places, []Finding) {
	lines := NewLines(text)
	if !json.Valid(text) {
		return nil, []Finding{syntaxFinding(lines, text)}
	}
	w := &jsonWalker{
		text:    text,
		lines:   lines,
		decoder: json.NewDecoder(bytes.NewReader(text)),
		places:  Places{},
	}
	w.decoder.UseNumber()
	// The text is valid, so the walk meets its end only.
	_ = w.walk("", 0)
	return w.places, w.findings
}

// syntaxFinding returns the finding for a text that is not valid JSON.
func syntaxFinding(lines Lines, text []byte) Finding {
	var value any
	err := json.Unmarshal(text, &value)
	finding := Finding{
		Severity: Error,
		Place:    lines.At(0, ""),
		Kind:     Syntax,
		Text:     "the text is not valid JSON",
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		finding.Place = lines.At(min(max(0, int(syntaxErr.Offset)-1), len(text)), "")
		finding.Text = syntaxErr.Error()
	}
	return finding
}

// jsonWalker visits the values of a valid JSON text.
type jsonWalker struct {
	text     []byte
	lines    Lines
	decoder  *json.Decoder
	places   Places
	findings []Finding
}

// next returns the next token and its offset.
func (w *jsonWalker) next() (json.Token, int, error) {
	offset := int(w.decoder.InputOffset())
	for offset < len(w.text) && strings.IndexByte(" \t\r\n,:", w.text[offset]) >= 0 {
		offset++
	}
	token, err := w.decoder.Token()
	return token, offset, err
}

// maxPlaceDepth is the depth to which places are kept, more than configurations have: paths of a text that is nothing but brackets would take hundreds of megabytes.
const maxPlaceDepth = 12

// walk visits one value. Depth is bounded, because json.Valid refuses texts that are nested more than 10,000 deep.
func (w *jsonWalker) walk(path string, depth int) error {
	token, offset, err := w.next()
	if err != nil {
		return err
	}
	if depth <= maxPlaceDepth {
		w.places[path] = w.lines.At(offset, path)
	}
	delimiter, isDelimiter := token.(json.Delim)
	if !isDelimiter {
		return nil
	}
	seen := map[string]bool{}
	for i := 0; w.decoder.More(); i++ {
		child := path
		if depth < maxPlaceDepth {
			child = fmt.Sprintf("%s[%d]", path, i)
		}
		if delimiter == '{' {
			name, nameOffset, err := w.next()
			if err != nil {
				return err
			}
			field := fmt.Sprint(name)
			if depth < maxPlaceDepth {
				child = strings.TrimPrefix(path+"."+field, ".")
			}
			if seen[field] {
				w.findings = append(w.findings, Finding{
					Severity: Warning,
					Place:    w.lines.At(nameOffset, child),
					Kind:     RepeatedField,
					Text:     fmt.Sprintf("the field %q is there twice; only the last one counts", field),
				})
			}
			seen[field] = true
		}
		if err := w.walk(child, depth+1); err != nil {
			return err
		}
	}
	if _, _, err := w.next(); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
