package hwresponse_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwresponse"
)

func ExampleCheckHead() {
	header := http.Header{
		"Content-Length ": {"15"},
	}
	fmt.Println(hwresponse.CheckHead(http.StatusOK, header))
	fmt.Println(hwresponse.CheckHead(0, http.Header{}))
	// Output:
	// invalid HTTP response head: the field name "Content-Length " is not a token
	// invalid HTTP response head: status 0 is not between 100 and 599
}

func TestStatusIsValidFrom100To599Except101(t *testing.T) {
	for status := range 1000 {
		err := hwresponse.CheckHead(status, http.Header{})
		assert.Equal(t, status >= 100 && status <= 599 && status != 101, err == nil, strconv.Itoa(status))
	}
}

func TestFieldNameIsAToken(t *testing.T) {
	for name, valid := range map[string]bool{
		"X-Note":              true,
		"x":                   true,
		"!#$%&'*+-.^_`|~09Az": true,
		"":                    false,
		"X Note":              false,
		" X-Note":             false,
		"X-Note ":             false,
		"X-Note\t":            false,
		"X\x00Note":           false,
		"X\x7fNote":           false,
		"X-\u00e9":            false,
		"X(Note)":             false,
		"X:Note":              false,
	} {
		err := hwresponse.CheckHead(http.StatusOK, http.Header{
			name: {"1"},
		})
		assert.Equal(t, valid, err == nil, "%q", name)
	}
}
