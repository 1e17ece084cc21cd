package hwdocument

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes is the largest document in bytes that the platform's store can hold.
const MaxDocumentBytes = 1 << 20

// The values of fields that a document may leave out.
const (
	DefaultQueueBound      = 256
	DefaultQueueTimeout    = 30 * time.Second
	DefaultProgressTimeout = 20 * time.Second
	DefaultAnswerTimeout   = 5 * time.Minute
	DefaultDeadline        = 30 * time.Second
	DefaultLargestCost     = 8192
)

// ValidationError is one mistake in a document.
type ValidationError struct {
	Line    int
	Field   string
	Message string
}

// ValidationErrors is every mistake found in a document, in the order of their lines.
type ValidationErrors []ValidationError

// Error lists the faults, one a line.
func (f ValidationErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", fault.Line, fault.Field, fault.Message))
	}
	return strings.Join(lines, "\n")
}

// UnmarshalYAML reads a span such as "1m30s".
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	span, err := time.ParseDuration(node.Value)
	if err != nil || span < 0 {
		return &yaml.TypeError{
			Errors: []string{fmt.Sprintf("line %d: %q is not a time span such as 30s", node.Line, node.Value)},
		}
	}
	*d = Duration(span)
	return nil
}

// MarshalYAML writes the span as "1m30s".
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Decode reads a document strictly and reports every fault at once.
func Decode(body []byte) (*Document, error) {
	if len(body) > MaxDocumentBytes {
		return nil, ValidationErrors{fault(1, "document", "is larger than 1 MiB")}
	}
	document := &Document{}
	decoder := yaml.NewDecoder(bytes.NewReader(body))
	decoder.KnownFields(true)
	err := decoder.Decode(document)
	if errors.Is(err, io.EOF) {
		return nil, ValidationErrors{fault(1, "document", "is empty")}
	}
	faults := decodeFaults(err)
	if err == nil {
		if more := decoder.Decode(&yaml.Node{}); !errors.Is(more, io.EOF) {
			faults = append(faults, fault(1, "document", "holds more than one YAML document"))
		}
	}
	document.setDefaults()
	if len(faults) == 0 && len(check(document, nil)) == 0 {
		return document, nil
	}
	// Only a bad document is read a second time, for the lines of its faults.
	var root yaml.Node
	if yaml.Unmarshal(body, &root) != nil {
		return nil, faults
	}
	faults = append(faults, check(document, lines(&root))...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return nil, faults
}

func (d *Document) setDefaults() {
	for i := range d.Accounts {
		setDefault(&d.Accounts[i].QueueBound, DefaultQueueBound)
	}
	for i := range d.Pools {
		p := &d.Pools[i]
		setDefault(&p.QueueTimeout, Duration(DefaultQueueTimeout))
		setDefault(&p.ProgressTimeout, Duration(DefaultProgressTimeout))
		setDefault(&p.AnswerTimeout, Duration(DefaultAnswerTimeout))
		setDefault(&p.GeneratedWeight, 1)
		setDefault(&p.MillisecondWeight, 1)
		setDefault(&p.LargestCost, DefaultLargestCost)
	}
	for i := range d.Services {
		for j := range d.Services[i].Routes {
			setDefault(&d.Services[i].Routes[j].Deadline, Duration(DefaultDeadline))
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func fault(line int, field, message string) ValidationError {
	return ValidationError{
		Line:    line,
		Field:   field,
		Message: message,
	}
}

// decodeFaults turns the decoder's own messages, which begin with "line N:", into faults.
func decodeFaults(err error) ValidationErrors {
	if err == nil {
		return nil
	}
	messages := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	faults := make(ValidationErrors, 0, len(messages))
	for _, message := range messages {
		line := 1
		rest := message
		if _, scanErr := fmt.Sscanf(message, "line %d:", &line); scanErr == nil {
			rest = strings.TrimSpace(message[strings.Index(message, ":")+1:])
		}
		faults = append(faults, fault(line, "document", rest))
	}
	return faults
}

// lines maps each path such as "pools[0].slots" to its line.
func lines(root *yaml.Node) map[string]int {
	found := map[string]int{}
	var walk func(path string, node *yaml.Node)
	walk = func(path string, node *yaml.Node) {
		found[path] = node.Line
		switch node.Kind {
		case yaml.DocumentNode:
			for _, child := range node.Content {
				walk(path, child)
			}
		case yaml.MappingNode:
			for i := 0; i+1 < len(node.Content); i += 2 {
				name := node.Content[i].Value
				walk(strings.TrimPrefix(path+"."+name, "."), node.Content[i+1])
				found[strings.TrimPrefix(path+"."+name, ".")] = node.Content[i].Line
			}
		case yaml.SequenceNode:
			for i, child := range node.Content {
				walk(fmt.Sprintf("%s[%d]", path, i), child)
			}
		default:
			// Scalars and aliases have nothing below them.
		}
	}
	walk("", root)
	return found
}
