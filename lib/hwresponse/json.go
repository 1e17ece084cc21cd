package hwresponse

import (
	"encoding/json"
	"io"
	"net/http"
)

// DecodeJSON decodes the body of a response, which may have at most limit bytes and must be a single JSON value. A json.Decoder would return the value without reading on to the end of the body, where a truncated one shows.
func DecodeJSON(body io.Reader, limit int64, result any) error {
	text, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(body), limit))
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}
