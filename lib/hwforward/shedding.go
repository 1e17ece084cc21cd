package hwforward

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwload"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// LoadSheddingSettings configure load shedding.
type LoadSheddingSettings struct {
	// Enabled is whether the router sheds requests and leaves rotation when its processor time runs out. The owner of the router must then run MeasureLoad.
	Enabled bool
	// Zone is the zone that the router states to its peers; an empty one is not stated. Routers that shed nothing state it too, so that others know where requests can be served.
	Zone string
}

// KeyReader reads the API key of a request without parsing the rest of it.
type KeyReader interface {
	APIKey(header http.Header) string
}

// shedDecision is what the request path needs to know while requests are shed. It is immutable.
type shedDecision struct {
	ratios hwload.Ratios
	// overShare is the share usage of the accounts over their share.
	overShare map[string]float64
}

// loadShedding is the load shedding of a router. The request path only reads the current decision, which the measuring task replaces.
type loadShedding struct {
	settings  LoadSheddingSettings
	keyReader KeyReader
	// current is nil unless requests are shed.
	current       atomic.Pointer[shedDecision]
	outOfRotation atomic.Bool
	overloaded    atomic.Bool
	shedTotal     atomic.Int64
	// memoryFull is whether the process has no memory for more requests, and memoryBytes the memory that it took last.
	memoryFull  atomic.Bool
	memoryBytes atomic.Int64
	// memory is used by the task that measures it alone.
	memory *hwload.Memory

	// lock guards the fields below it. It may be taken while the router's lock is held, but not the other way round.
	lock    sync.Mutex
	shedder *hwload.Shedder
	state   hwload.State
	// delayMax is the longest delay of the present interval of summaries, and lastDelayMax that of the one before.
	delayMax     time.Duration
	lastDelayMax time.Duration
	summarizedAt time.Time
	// shedSummarized is the value of shedTotal at the last summary.
	shedSummarized int64
	// usageReadAt is when the share usage of the current decision was read.
	usageReadAt time.Time

	// randomLock guards random.
	randomLock sync.Mutex
	random     *rand.Rand
}

func newLoadShedding(settings Settings, dependencies Dependencies) *loadShedding {
	s := &loadShedding{
		settings:  settings.LoadShedding,
		keyReader: dependencies.KeyReader,
		memory:    hwload.NewMemory(settings.MemoryLimit),
		random:    rand.New(rand.NewPCG(dependencies.Random.Uint64(), dependencies.Random.Uint64())),
	}
	if s.settings.Enabled {
		s.shedder = hwload.NewShedder(settings.Instance)
	}
	return s
}

const (
	// shareUsageInterval is the time between two readings of the share usage while requests are shed. Peers report it every 600 ms.
	shareUsageInterval = 200 * time.Millisecond
	// shedSummaryInterval is the time between two log lines about shed requests.
	shedSummaryInterval = time.Second
)

// addState adds the load state to an update for the peers.
func (s *loadShedding) addState(update *PeerUpdate) {
	update.Zone = s.settings.Zone
	update.OutOfRotation = s.outOfRotation.Load() || s.memoryFull.Load()
	update.Overloaded = s.overloaded.Load() || s.memoryFull.Load()
}

// setPeer records the load state of a peer in this router's zone.
func (s *loadShedding) setPeer(now time.Time, peer string, update PeerUpdate) {
	if !s.settings.Enabled || update.Zone == "" || update.Zone != s.settings.Zone {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.shedder.SetPeer(now, peer, hwload.Peer{
		OutOfRotation: update.OutOfRotation,
		Overloaded:    update.Overloaded,
	})
}

// RecordSchedulingDelay records how late a periodic wake-up ran, and decides about load shedding and rotation. It does nothing if load shedding is not enabled. Only one goroutine may call it.
func (r *Router) RecordSchedulingDelay(now time.Time, delay time.Duration) {
	s := r.shedding
	if !s.settings.Enabled {
		return
	}
	s.lock.Lock()
	before := s.state
	state := s.shedder.RecordDelay(now, delay)
	s.state = state
	s.delayMax = max(s.delayMax, delay)
	s.lock.Unlock()
	s.overloaded.Store(state.Overloaded)
	s.outOfRotation.Store(state.OutOfRotation)
	r.publishShedDecision(now, state)
	r.logLoadChanges(before, state)
	r.logShedRequests(now, state)
}

// publishShedDecision replaces the decision of the request path.
func (r *Router) publishShedDecision(now time.Time, state hwload.State) {
	s := r.shedding
	current := s.current.Load()
	if !state.Shedding {
		if current != nil {
			s.current.Store(nil)
		}
		return
	}
	next := &shedDecision{
		ratios: state.Ratios,
	}
	if current != nil && now.Sub(s.usageReadAt) < shareUsageInterval {
		next.overShare = current.overShare
	} else if table := r.table.Load(); table != nil {
		s.usageReadAt = now
		r.lock.Lock()
		next.overShare = r.shares.OverShare(now, table.Limits().FleetTokensPerSecond)
		r.lock.Unlock()
	}
	s.current.Store(next)
}

// logLoadChanges logs the beginning and the end of an overload, and changes of the rotation.
func (r *Router) logLoadChanges(before, state hwload.State) {
	delay := hwevent.With("delay-ms", state.MeanDelay.Milliseconds())
	switch {
	case state.Overloaded && !before.Overloaded:
		r.logger.Emit(hwevent.OverloadBegan, delay)
	case !state.Overloaded && before.Overloaded:
		r.logger.Emit(hwevent.OverloadEnded, delay)
	}
	if state.OutOfRotation != before.OutOfRotation {
		r.logger.Emit(hwevent.RotationChanged, hwevent.With("in-rotation", !state.OutOfRotation), delay)
	}
}

// logShedRequests logs how many requests were shed, at most once in an interval.
func (r *Router) logShedRequests(now time.Time, state hwload.State) {
	s := r.shedding
	s.lock.Lock()
	if now.Sub(s.summarizedAt) < shedSummaryInterval {
		s.lock.Unlock()
		return
	}
	s.summarizedAt = now
	s.lastDelayMax, s.delayMax = s.delayMax, 0
	total := s.shedTotal.Load()
	count := total - s.shedSummarized
	s.shedSummarized = total
	s.lock.Unlock()
	if count > 0 {
		r.logger.Emit(hwevent.RequestsShed,
			hwevent.With("count", count),
			hwevent.With("over-share-ratio", state.Ratios.OverShare),
			hwevent.With("within-share-ratio", state.Ratios.WithinShare))
	}
}

// writeMetrics writes the load metrics.
func (s *loadShedding) writeMetrics(w *bytes.Buffer) {
	s.lock.Lock()
	state, delayMax := s.state, max(s.delayMax, s.lastDelayMax)
	s.lock.Unlock()
	out := 0
	if state.OutOfRotation {
		out = 1
	}
	_, _ = fmt.Fprintf(w, "hickorywick_requests_shed_total %d\n", s.shedTotal.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_shed_ratio{accounts=\"over-share\"} %.3f\n", state.Ratios.OverShare)
	_, _ = fmt.Fprintf(w, "hickorywick_shed_ratio{accounts=\"within-share\"} %.3f\n", state.Ratios.WithinShare)
	_, _ = fmt.Fprintf(w, "hickorywick_scheduling_delay_mean_milliseconds %d\n", state.MeanDelay.Milliseconds())
	_, _ = fmt.Fprintf(w, "hickorywick_scheduling_delay_max_milliseconds %d\n", delayMax.Milliseconds())
	_, _ = fmt.Fprintf(w, "hickorywick_out_of_rotation %d\n", out)
	_, _ = fmt.Fprintf(w, "hickorywick_process_memory_bytes %d\n", s.memoryBytes.Load())
}

// draw returns a random number in [0, 1).
func (s *loadShedding) draw() float64 {
	s.randomLock.Lock()
	defer s.randomLock.Unlock()
	return s.random.Float64()
}

// shed refuses a request and returns true if it is to be shed. It does nothing else for the request: the client gets the same short answer whatever the request is.
func (r *Router) shed(w http.ResponseWriter, request *http.Request) bool {
	s := r.shedding
	table := r.table.Load()
	if s.memoryFull.Load() {
		r.refuseShed(w, request, table, &memoryAnswer, hwload.RetryAfter(s.draw()))
		return true
	}
	decision := s.current.Load()
	if decision == nil {
		return false
	}
	usage := s.shareUsage(decision, table, request)
	ratio := decision.ratios.WithinShare
	if usage >= 1 {
		ratio = decision.ratios.OverShare
	}
	if ratio == 0 {
		return false
	}
	random := s.draw()
	if random >= ratio {
		return false
	}
	// The number is uniform below the ratio, so it also serves for the Retry-After.
	random /= ratio
	if usage >= r.settings.Admission.FullyOverShare() {
		r.refuseShed(w, request, table, &overShareAnswer, r.settings.Admission.EarlyRetryAfter(random))
	} else {
		r.refuseShed(w, request, table, &overloadedAnswer, hwload.RetryAfter(random))
	}
	return true
}

// refuseShed reads a request to its end and refuses it.
func (r *Router) refuseShed(w http.ResponseWriter, request *http.Request, table *hwtable.Table, answer *shedAnswer, retryAfter time.Duration) {
	r.metrics.requests.Add(1)
	r.shedding.shedTotal.Add(1)
	if !r.discardBody(w, request, table) {
		panic(http.ErrAbortHandler)
	}
	r.writeShed(w, request, answer, retryAfter)
}

// shareUsage returns the share usage of the request's account if it is over its share and the request counts towards it: only engines are shared by tokens.
func (s *loadShedding) shareUsage(decision *shedDecision, table *hwtable.Table, request *http.Request) float64 {
	if table == nil || s.keyReader == nil || len(decision.overShare) == 0 {
		return 0
	}
	account, known := table.Authenticate(s.keyReader.APIKey(request.Header))
	if !known {
		return 0
	}
	usage := decision.overShare[account.Name]
	if usage < 1 {
		return 0
	}
	route, found := table.Match(request.Host, requestPath(request))
	if !found {
		return 0
	}
	for _, target := range route.Targets {
		if pool, known := table.Pool(target.Pool); !known || pool.Engine == nil {
			return 0
		}
	}
	return usage
}

// discardBody reads the body without keeping it, because a client that is still sending when the connection closes would see a reset in place of the answer. It returns false if the client stops sending.
func (r *Router) discardBody(w http.ResponseWriter, request *http.Request, table *hwtable.Table) bool {
	now := r.clock.Now()
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(now.Add(r.settings.BodyTimeout + r.settings.WriteTimeout))
	if request.Body == nil || request.ContentLength == 0 {
		return true
	}
	limit := int64(defaultMaxBodyBytes)
	if table != nil && table.Limits().MaxBodyBytes > 0 {
		limit = table.Limits().MaxBodyBytes
	}
	_ = controller.SetReadDeadline(now.Add(r.settings.BodyTimeout))
	// As for other refusals, up to 2 times the limit is read.
	_, err := io.Copy(io.Discard, io.LimitReader(request.Body, 2*limit))
	return err == nil
}

// shedAnswer is an answer to a shed request, with the parts that are always the same.
type shedAnswer struct {
	status int
	body   string
	length []string
}

func newShedAnswer(kind hwerror.Kind, message string) shedAnswer {
	refusal := newRefusal(kind, message)
	body := `{"error":{"type":"` + string(refusal.Kind) + `","execution":"` + string(refusal.Execution) + `","message":"` + refusal.Message + `"}}`
	return shedAnswer{
		status: refusal.Status(),
		body:   body,
		length: []string{strconv.Itoa(len(body))},
	}
}

// The answers to shed requests, and values of their headers, which all of them share.
var (
	overloadedAnswer = newShedAnswer(hwerror.KindOverloaded, "the instance is overloaded, another one has room")
	memoryAnswer     = newShedAnswer(hwerror.KindOverloaded, "the instance has no memory for another request")
	overShareAnswer  = newShedAnswer(hwerror.KindOverShare, "the account is over its share and the instance is overloaded")
	closeValue       = []string{"close"}
	jsonValue        = []string{"application/json"}
)

// writeShed answers a shed request and closes its connection, so that the next request goes to another router.
func (r *Router) writeShed(w http.ResponseWriter, request *http.Request, answer *shedAnswer, retryAfter time.Duration) {
	h := w.Header()
	h["Connection"] = closeValue
	h["Content-Type"] = jsonValue
	h["Content-Length"] = answer.length
	h["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	if id := request.Header.Get(r.protocol.RequestIDHeader()); id != "" {
		h.Set(r.protocol.RequestIDHeader(), id)
	}
	w.WriteHeader(answer.status)
	// A write error means that the client has disconnected; nothing is left to do.
	_, _ = io.WriteString(w, answer.body)
}
