package hwdocument

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// meanChunkLines is the mean number of lines per chunk.
const meanChunkLines = 16

// Chunk is a content-addressed sequence of lines of a document.
type Chunk struct {
	Digest uint64
	Bytes  []byte
}

// SplitChunks splits a body into chunks by content-defined chunking. Each boundary depends on the content of one line only, so a change affects only the chunks around the changed lines, and peers transfer only these.
func SplitChunks(body []byte) []Chunk {
	var chunks []Chunk
	start := 0
	for at := 0; at < len(body); {
		end := len(body)
		if n := bytes.IndexByte(body[at:], '\n'); n >= 0 {
			end = at + n + 1
		}
		if xxhash.Sum64(body[at:end])%meanChunkLines == 0 || end == len(body) {
			chunks = append(chunks, Chunk{
				Digest: xxhash.Sum64(body[start:end]),
				Bytes:  body[start:end],
			})
			start = end
		}
		at = end
	}
	return chunks
}

// ChunkDigests returns the digests of the chunks in order.
func ChunkDigests(chunks []Chunk) []uint64 {
	digests := make([]uint64, 0, len(chunks))
	for _, c := range chunks {
		digests = append(digests, c.Digest)
	}
	return digests
}

// MissingChunks returns the chunks that a peer with the given chunk digests does not have, each once.
func MissingChunks(chunks []Chunk, digests []uint64) []Chunk {
	known := map[uint64]bool{}
	for _, digest := range digests {
		known[digest] = true
	}
	var missing []Chunk
	for _, c := range chunks {
		if !known[c.Digest] {
			known[c.Digest] = true
			missing = append(missing, c)
		}
	}
	return missing
}

// AssembleChunks builds a body from the ordered digests of its chunks, given the local and the received chunks. It reports false if one is missing. The caller must still verify the digest of the whole body, since chunk digests are not cryptographic.
func AssembleChunks(order []uint64, local, received []Chunk) ([]byte, bool) {
	known := map[uint64][]byte{}
	for _, c := range slices.Concat(local, received) {
		known[c.Digest] = c.Bytes
	}
	var body []byte
	for _, digest := range order {
		content, found := known[digest]
		if !found {
			return nil, false
		}
		body = append(body, content...)
	}
	return body, true
}
