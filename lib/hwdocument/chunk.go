package hwdocument

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// chunkLines is the mean number of lines in a chunk.
const chunkLines = 16

// Chunk is a run of a document's lines, named by its content.
type Chunk struct {
	Digest uint64
	Bytes  []byte
}

// SplitChunks cuts a body into chunks. The borders depend on the content of single lines only, so a change of some lines changes the chunks around them and no others, and peers send each other little.
func SplitChunks(body []byte) []Chunk {
	var chunks []Chunk
	begin := 0
	for at := 0; at < len(body); {
		end := len(body)
		if n := bytes.IndexByte(body[at:], '\n'); n >= 0 {
			end = at + n + 1
		}
		if xxhash.Sum64(body[at:end])%chunkLines == 0 || end == len(body) {
			chunks = append(chunks, Chunk{
				Digest: xxhash.Sum64(body[begin:end]),
				Bytes:  body[begin:end],
			})
			begin = end
		}
		at = end
	}
	return chunks
}

// ChunkDigests returns the names of the chunks in order.
func ChunkDigests(chunks []Chunk) []uint64 {
	names := make([]uint64, 0, len(chunks))
	for _, c := range chunks {
		names = append(names, c.Digest)
	}
	return names
}

// MissingChunks returns the chunks of a body that a peer with the given names lacks.
func MissingChunks(chunks []Chunk, names []uint64) []Chunk {
	known := map[uint64]bool{}
	for _, name := range names {
		known[name] = true
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

// AssembleChunks puts a body together from the order of its chunks, those at hand and those that were sent. It reports false when one is missing; the caller still compares the whole body's digest.
func AssembleChunks(order []uint64, atHand, sent []Chunk) ([]byte, bool) {
	known := map[uint64][]byte{}
	for _, c := range slices.Concat(atHand, sent) {
		known[c.Digest] = c.Bytes
	}
	var body []byte
	for _, name := range order {
		piece, found := known[name]
		if !found {
			return nil, false
		}
		body = append(body, piece...)
	}
	return body, true
}
