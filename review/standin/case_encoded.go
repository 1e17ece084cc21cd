package main

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["encoded"] = playEncoded }

// deflated returns a text as one stored block of RFC 1951.
func deflated(text string) []byte {
	head := []byte{1}
	head = binary.LittleEndian.AppendUint16(head, uint16(len(text)))
	head = binary.LittleEndian.AppendUint16(head, ^uint16(len(text)))
	return append(head, text...)
}

const (
	// spoiledEvery is how many answers of the faulty replica come for each one that has a content encoding: 2.5 in 100.
	spoiledEvery = 40
	// spoiledFrom and spoiledTo are the window in which it does that, from the start of the traffic on.
	spoiledFrom = 3 * time.Second
	spoiledTo   = 8 * time.Second
)

// playEncoded lets one of three engines spoil some of its streams: they come with a Content-Encoding, which no client asked for.
func playEncoded(w *world) (bool, error) {
	var trafficFrom time.Time
	w.configure(7, []any{route("/chat/", "streaming", engineService, 1)}, []any{engines()}, nil)
	for number := range 3 {
		rep, err := w.addReplica(engineService, number, 64, 0)
		if err != nil {
			return false, err
		}
		if number == 0 && w.troubled() {
			rep.respond = func(rep *replica, life *lifetime, rw http.ResponseWriter, _ *http.Request, id string) bool {
				if since := time.Since(trafficFrom); since < spoiledFrom || since > spoiledTo || life.runs.Load()%spoiledEvery != 0 {
					return false
				}
				h := rw.Header()
				h.Set("X-Hickorywick-Response-Signature", signature(life.id, id))
				h.Set("Content-Type", "text/event-stream")
				h.Set("Content-Encoding", "deflate")
				body := deflated(streamBody(id))
				h.Set("Content-Length", strconv.Itoa(len(body)))
				_, _ = rw.Write(body)
				w.record.note("%s: %s answers with Content-Encoding: deflate", id, life.id)
				return true
			}
		}
	}
	if err := w.startRouters(2); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	trafficFrom = time.Now()
	wait := every(ctx, 10*time.Millisecond, func(number int) {
		// The last part belongs to the request itself.
		prefix := fmt.Sprintf("%x:400,%x:250", 0x5c1e0700+number%12, 0x10000+number)
		w.send(w.routers[number%len(w.routers)], request{method: "POST", path: "/chat/x", body: "prompt", prefix: prefix})
	})
	time.Sleep(12 * time.Second)
	cancel()
	wait()
	served, wrong := 0, 0
	for _, q := range w.allRequests() {
		switch {
		case !q.served():
		case q.header.Get("Content-Encoding") != "" || q.answer != streamBody(q.id):
			wrong++
			plain, err := io.ReadAll(flate.NewReader(bytes.NewReader([]byte(q.answer))))
			w.record.note("%s: status 200, complete, signature %q, Content-Encoding %q, %d bytes that aren't the events asked for (decoded: %d bytes, %v)",
				q.id, q.header.Get("X-Hickorywick-Response-Signature"), q.header.Get("Content-Encoding"), len(q.answer), len(plain), err)
		default:
			served++
		}
	}
	w.record.note("%d streams served, %d successes with a body that isn't the replica's", served, wrong)
	return wrong > 0, nil
}
