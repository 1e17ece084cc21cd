package main

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// commandPattern matches the commands in the code spans and indented lines of a page.
var commandPattern = regexp.MustCompile("hickorywickctl((?: [^\\s`|&;()]+)+)")

// placeholderValues maps each placeholder that pages write for an argument to a valid value.
var placeholderValues = map[string]string{
	"FILE":        "examples/trial.yaml",
	"REQUEST-ID":  "7f3a",
	"ENVIRONMENT": "trial",
}

// requiredArguments are the arguments by command that a page may omit where it only names the command.
var requiredArguments = map[string][]string{
	"put":              {"examples/trial.yaml"},
	"validate":         {"examples/trial.yaml"},
	"check":            {"examples/trial.yaml"},
	"diff":             {"examples/trial.yaml"},
	"show":             {"trial"},
	"history":          {"trial"},
	"explain":          {"7f3a"},
	"story":            {"7f3a", "front-1.log"},
	"order":            {"--upstream=u", "--model=m", "--version=2"},
	"rollback-forward": {"trial", "--version=1"},
}

// TestDocumentedCommandsExist guards against documentation of commands, flags or arguments that the parser rejects.
func TestDocumentedCommandsExist(t *testing.T) {
	t.Chdir(filepath.Join("..", ".."))
	found := 0
	for _, pattern := range []string{"README.md", "CHANGELOG.md", "docs/*.md", "docs/design/*.md"} {
		pages, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, page := range pages {
			text, err := os.ReadFile(page)
			require.NoError(t, err)
			for _, match := range commandPattern.FindAllStringSubmatch(string(text), -1) {
				found++
				assert.NoError(t, parseCommand(strings.Fields(match[1])), "%s: %s", page, match[0])
			}
		}
	}
	assert.Greater(t, found, 10, "commands found in the pages")
}

func parseCommand(words []string) error {
	for i, word := range words {
		// Brackets mark arguments that may be omitted; they are parsed all the same.
		word = strings.Trim(word, "[]")
		words[i] = word
		if value, known := placeholderValues[word]; known {
			words[i] = value
		}
	}
	parser, err := kong.New(&arguments{}, kong.BindTo(context.Background(), (*context.Context)(nil)))
	if err != nil {
		return err
	}
	_, err = parser.Parse(words)
	if required, known := requiredArguments[words[len(words)-1]]; known && err != nil {
		_, err = parser.Parse(append(words, required...))
	}
	return err
}
