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

// MaxDocumentBytes is the size of the largest document that the platform's store accepts, in bytes.
const MaxDocumentBytes = 1 << 20

// Defaults of optional fields.
const (
	DefaultQueueBound      = 256
	DefaultQueueTimeout    = 30 * time.Second
	DefaultProgressTimeout = 20 * time.Second
	DefaultAnswerTimeout   = 5 * time.Minute
	DefaultDeadline        = 30 * time.Second
	DefaultLargestCost     = 8192
)

// ValidationError is an error in a document, with the line and the path of the field.
type ValidationError struct {
	Line    int
	Field   string
	Message string
}

// ValidationErrors are all errors found in a document, in the order of their lines.
type ValidationErrors []ValidationError

// Error returns the errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, item := range e {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", item.Line, item.Field, item.Message))
	}
	return strings.Join(lines, "\n")
}

// UnmarshalYAML parses a duration such as "1m30s".
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	duration, err := time.ParseDuration(node.Value)
	if err != nil || duration < 0 {
		return &yaml.TypeError{
			Errors: []string{fmt.Sprintf("line %d: %q is not a duration such as 30s", node.Line, node.Value)},
		}
	}
	*d = Duration(duration)
	return nil
}

// MarshalYAML formats the duration as "1m30s".
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Decode decodes a document strictly, rejecting unknown fields. It returns all errors found as ValidationErrors.
func Decode(body []byte) (*Document, error) {
	if len(body) > MaxDocumentBytes {
		return nil, ValidationErrors{validationError(1, "document", "is larger than 1 MiB")}
	}
	document := &Document{}
	decoder := yaml.NewDecoder(bytes.NewReader(body))
	decoder.KnownFields(true)
	err := decoder.Decode(document)
	if errors.Is(err, io.EOF) {
		return nil, ValidationErrors{validationError(1, "document", "is empty")}
	}
	errs := decodeErrors(err)
	if err == nil {
		if more := decoder.Decode(&yaml.Node{}); !errors.Is(more, io.EOF) {
			errs = append(errs, validationError(1, "document", "contains more than one YAML document"))
		}
	}
	document.setDefaults()
	if len(errs) == 0 && len(validate(document, nil)) == 0 {
		return document, nil
	}
	// The document is parsed a second time only if it is invalid, to find the lines of the errors.
	var root yaml.Node
	if yaml.Unmarshal(body, &root) != nil {
		return nil, errs
	}
	errs = append(errs, validate(document, fieldLines(&root))...)
	sort.SliceStable(errs, func(i, j int) bool { return errs[i].Line < errs[j].Line })
	return nil, errs
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

func validationError(line int, field, message string) ValidationError {
	return ValidationError{
		Line:    line,
		Field:   field,
		Message: message,
	}
}

// decodeErrors converts the YAML decoder's messages, which begin with "line N:", to validation errors.
func decodeErrors(err error) ValidationErrors {
	if err == nil {
		return nil
	}
	messages := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	errs := make(ValidationErrors, 0, len(messages))
	for _, message := range messages {
		line := 1
		rest := message
		if _, scanErr := fmt.Sscanf(message, "line %d:", &line); scanErr == nil {
			rest = strings.TrimSpace(message[strings.Index(message, ":")+1:])
		}
		errs = append(errs, validationError(line, "document", rest))
	}
	return errs
}

// fieldLines maps each field path such as "pools[0].slots" to its line.
func fieldLines(root *yaml.Node) map[string]int {
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
			// Scalars and aliases have no children.
		}
	}
	walk("", root)
	return found
}
