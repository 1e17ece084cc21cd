package hwrouter

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/pprof"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwslot"
	"github.com/hickorywick/hickorywick/lib/hwstore"
	"github.com/hickorywick/hickorywick/lib/hwtask"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// version is a document in force.
type version struct {
	Number   uint64
	Digest   string
	Body     []byte
	Document *hwdocument.Document
}

// hosted is a slot broker that this instance hosts.
type hosted struct {
	lock   sync.Mutex
	broker *hwslot.Broker
}

// Router is one instance of the fleet.
type Router struct {
	settings  Settings
	listeners Listeners
	store     hwstore.Store
	calls     *hwstore.CallCounters
	logger    *hwevent.Logger
	dial      hwpeer.DialFunc
	peers     *hwpeer.Client
	traffic   *hwpeer.Traffic
	upstreams *hwupstream.Client
	metrics   *metrics
	inForce   atomic.Pointer[version]
	listed    atomic.Bool
	// selfListed tells that the list shows this instance.
	selfListed atomic.Bool
	// heard tells that a peer has told what it knows, crashes of upstreams among it.
	heard    atomic.Bool
	bootAt   time.Time
	stopping atomic.Bool
	servers  []*khttp.Server

	// membersLock guards table. Nothing is called under it but the table.
	membersLock sync.Mutex
	table       *hwmember.Table
	view        atomic.Pointer[view]

	// poolsLock guards the maps; what they hold has locks of its own.
	poolsLock sync.RWMutex
	pools     map[string]*pool
	brokers   map[string]*hosted

	// pacerLock guards pacer.
	pacerLock sync.Mutex
	pacer     *hwslot.Pacer

	owners     owners
	quarantine *quarantine
	objectives objectives
	usage      *usage
	trails     *trails
	// background runs short tasks that no caller waits for.
	background *group

	// tasks are the goroutines that the router owns. Their ends are read in Stop.
	tasksLock sync.Mutex
	tasks     []<-chan error
	running   context.Context //nolint:containedctx // Pools that a new document brings start goroutines that live as long as the router.
	cancel    context.CancelFunc
	installed chan struct{}
}

// New returns a router that is not started yet.
func New(settings Settings, dependencies Dependencies) (*Router, error) {
	if err := settings.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	traffic := &hwpeer.Traffic{}
	running, cancel := context.WithCancel(context.Background())
	r := &Router{
		settings:  settings,
		listeners: dependencies.Listeners,
		store:     dependencies.Store,
		calls:     dependencies.StoreCalls,
		logger:    dependencies.Logger,
		dial:      dependencies.Dial,
		traffic:   traffic,
		peers:     hwpeer.NewClient(settings.Security, settings.Timing.PeerTimeout, dependencies.Dial, traffic),
		upstreams: hwupstream.NewClient(settings.Timing.DialTimeout),
		metrics:   newMetrics(),
		pools:     map[string]*pool{},
		brokers:   map[string]*hosted{},
		running:   running,
		bootAt:    time.Now(),
		cancel:    cancel,
		installed: make(chan struct{}, 1),
		owners: owners{
			partitions: map[int]*ownedPartition{},
		},
		background: newGroup(running),
		pacer: hwslot.NewPacer(hwslot.PacerSettings{
			BudgetBytesPerSecond: controlBudget,
			MinInterval:          settings.Timing.ReportInterval,
			MaxInterval:          settings.Timing.HeartbeatInterval,
		}),
		quarantine: newQuarantine(),
		trails:     newTrails(),
		usage:      newUsage(time.Now(), settings),
		table: hwmember.New(hwmember.Settings{
			ProbeInterval:    settings.Timing.ProbeInterval,
			SuspicionTimeout: settings.Timing.SuspicionTimeout,
			IndirectProbes:   indirectProbes,
			MaxPiggybackRows: piggybackRows,
			TransmitLimit:    spreadCount,
		}, hwmember.Row{
			Instance: settings.Instance,
			Address:  settings.PeersAddress,
			Zone:     settings.Zone,
			Boot:     settings.Boot,
		}, rand.NewPCG(settings.Boot, randomStream)),
	}
	r.view.Store(newView(r.table))
	r.servers = append(r.servers, r.server(r.listeners.Callers, r.callersHandler()))
	if r.listeners.Operators != nil {
		r.servers = append(r.servers, r.server(r.listeners.Operators, r.operatorsHandler()))
	}
	return r, nil
}

// controlBudget is the traffic between routers that an instance may cause, in bytes a second.
const controlBudget = 23_000

// The bounds of membership messages.
const (
	indirectProbes = 2
	piggybackRows  = 8
	spreadCount    = 6
)

// Start opens the listeners for work and runs until the context ends or a listener fails. It is one half of kratos's server interface.
func (r *Router) Start(ctx context.Context) error {
	r.logger.Emit(hwevent.RouterStarted,
		hwevent.With("instance", r.settings.Instance),
		hwevent.With("zone", r.settings.Zone),
		hwevent.With("callers", r.listeners.Callers.Addr().String()),
		hwevent.With("peers", r.listeners.Peers.Addr().String()))
	failed := make(chan error, len(r.servers)+1)
	for _, server := range r.servers {
		r.begin(func(context.Context) error {
			// A server that was closed on purpose ends without an error.
			if err := server.Start(r.running); err != nil {
				failed <- err
			}
			return nil
		})
	}
	r.own(func(ctx context.Context) error {
		err := hwpeer.Serve(ctx, r.listeners.Peers, r.settings.Security, documentQuery{Router: r}, r.traffic, func(method string) {
			r.logger.Emit(hwevent.PeerRefused, hwevent.With("method", method))
		})
		if ctx.Err() == nil {
			failed <- err
		}
		return nil
	})
	r.own(r.followList)
	r.own(r.gossip)
	if r.store != nil {
		r.own(r.followDocument)
		r.own(r.recordUsage)
	}
	var failure error
	select {
	case failure = <-failed:
	case <-ctx.Done():
	case <-r.running.Done():
	}
	r.cancel()
	return trace.NewAggregate(failure, r.shutdown())
}

// server returns a kratos server. Its default timeout would cut streams, so it is off; slow senders of headers are cut instead.
func (r *Router) server(listener net.Listener, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(
		khttp.Listener(listener),
		khttp.Timeout(0),
	)
	server.HandlePrefix("/", handler)
	server.ReadHeaderTimeout = r.settings.Timing.HeaderTimeout
	server.IdleTimeout = r.settings.Timing.IdleTimeout
	server.MaxHeaderBytes = largestHeader
	return server
}

// largestHeader bounds the headers of a request, in bytes.
const largestHeader = 64 << 10

// WorkLabel is the profiler's label of what a goroutine works for, and ControlWork its value for all that is not a request: reports, membership, the document, usage. A processor profile tells by it what control costs.
const (
	ProfileWorkLabel   = "work"
	ProfileControlWork = "control"
)

// own starts a goroutine that works for control.
func (r *Router) own(work func(context.Context) error) {
	r.begin(func(ctx context.Context) error {
		var err error
		pprof.Do(ctx, pprof.Labels(ProfileWorkLabel, ProfileControlWork), func(ctx context.Context) { err = work(ctx) })
		return err
	})
}

// begin starts a goroutine whose end is read when the router stops.
func (r *Router) begin(work func(context.Context) error) {
	r.tasksLock.Lock()
	defer r.tasksLock.Unlock()
	r.tasks = append(r.tasks, hwtask.Start(r.running, work))
}

// Stop asks the router to finish what is in flight and waits until it has. It is the other half of kratos's server interface.
func (r *Router) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.logger.Emit(hwevent.RouterStopping, hwevent.With("instance", r.settings.Instance))
	r.announceLeave(ctx)
	// The platform's balancer needs a moment to see that the instance is not ready. Until then new requests are served as before.
	hwtask.Sleep(ctx, r.settings.Timing.DrainGrace)
	failures := make([]error, 0, len(r.servers))
	for _, server := range r.servers {
		// Stopping closes the listener and waits for every request in flight.
		failures = append(failures, server.Stop(ctx))
	}
	r.background.wait()
	r.handBack(ctx)
	r.closeUsage(ctx)
	r.cancel()
	return trace.NewAggregate(failures...)
}

// shutdown closes what is still open and reads the ends of all goroutines.
func (r *Router) shutdown() error {
	failures := make([]error, 0, len(r.servers))
	for _, server := range r.servers {
		failures = append(failures, server.Close())
	}
	r.upstreams.Close()
	failures = append(failures, r.peers.Close())
	r.tasksLock.Lock()
	tasks := slices.Clone(r.tasks)
	r.tasksLock.Unlock()
	failures = append(failures, hwtask.Join(tasks...))
	r.background.wait()
	r.logger.Emit(hwevent.RouterStopped, hwevent.With("instance", r.settings.Instance))
	return trace.NewAggregate(failures...)
}

// callersHandler tells connections to close while the router stops, so that callers move to other instances.
func (r *Router) callersHandler() http.Handler {
	handler := hwintake.NewHandler(r, hwintake.Limits{
		MaxBodyBytes:    r.settings.MaxBodyBytes,
		BodyReadTimeout: r.settings.Timing.BodyTimeout,
	})
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if r.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, request)
	})
}

// Document returns the document in force.
func (r *Router) Document() *hwdocument.Document {
	if current := r.inForce.Load(); current != nil {
		return current.Document
	}
	return nil
}

// DocumentVersion returns the number and digest of the document in force.
func (r *Router) DocumentVersion() (uint64, string) {
	if current := r.inForce.Load(); current != nil {
		return current.Number, current.Digest
	}
	return 0, ""
}

// Ready reports whether the router can serve callers.
func (r *Router) Ready() bool {
	return r.knowsFleet(time.Now()) && r.knowsNews(time.Now()) && r.Document() != nil && !r.stopping.Load() && r.running.Err() == nil
}

// knowsNews reports whether a peer has told what it knows. An instance that serves before that would run a request that has crashed upstreams elsewhere. When no peer answers it serves all the same after a while.
func (r *Router) knowsNews(now time.Time) bool {
	return r.heard.Load() || len(r.AliveInstances()) <= 1 || now.Sub(r.bootAt) > unlistedPatience
}

func (r *Router) pool(name string) *pool {
	r.poolsLock.RLock()
	defer r.poolsLock.RUnlock()
	return r.pools[name]
}

func (r *Router) allPools() []*pool {
	r.poolsLock.RLock()
	defer r.poolsLock.RUnlock()
	all := make([]*pool, 0, len(r.pools))
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		all = append(all, r.pools[name])
	}
	return all
}

// Abort ends the router at once, as a crash does: connections are cut and nobody is told.
func (r *Router) Abort() error {
	r.cancel()
	return trace.Wrap(r.listeners.Callers.Close())
}
