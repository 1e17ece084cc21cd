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

// documented finds commands in code spans and indented lines.
var documented = regexp.MustCompile("hickorywickctl((?: [^\\s`|&;()]+)+)")

// placeholders are what the pages write for an argument.
var placeholders = map[string]string{
	"FILE":        "examples/trial.yaml",
	"REQUEST-ID":  "7f3a",
	"ENVIRONMENT": "trial",
}

// required are the arguments that a page may leave out where it only names a command.
var required = map[string][]string{
	"put":              {"examples/trial.yaml"},
	"validate":         {"examples/trial.yaml"},
	"diff":             {"examples/trial.yaml"},
	"show":             {"trial"},
	"history":          {"trial"},
	"explain":          {"7f3a"},
	"story":            {"7f3a", "front-1.log"},
	"order":            {"--upstream=u", "--model=m", "--version=2"},
	"rollback-forward": {"trial", "--version=1"},
}

// TestDocumentedCommandsExist parses every command that a page shows.
func TestDocumentedCommandsExist(t *testing.T) {
	t.Chdir(filepath.Join("..", ".."))
	found := 0
	for _, pattern := range []string{"README.md", "CHANGELOG.md", "docs/*.md", "docs/design/*.md"} {
		pages, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, page := range pages {
			text, err := os.ReadFile(page)
			require.NoError(t, err)
			for _, match := range documented.FindAllStringSubmatch(string(text), -1) {
				found++
				assert.NoError(t, parse(strings.Fields(match[1])), "%s: %s", page, match[0])
			}
		}
	}
	assert.Greater(t, found, 10, "the pages show commands")
}

func parse(words []string) error {
	for i, word := range words {
		if meant, known := placeholders[word]; known {
			words[i] = meant
		}
	}
	parser, err := kong.New(&arguments{}, kong.BindTo(context.Background(), (*context.Context)(nil)))
	if err != nil {
		return err
	}
	_, err = parser.Parse(words)
	if arguments, known := required[words[len(words)-1]]; known && err != nil {
		_, err = parser.Parse(append(words, arguments...))
	}
	return err
}
