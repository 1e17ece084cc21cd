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

// installedDocument is a document with its version and encoded form.
type installedDocument struct {
	Version  hwdocument.Version
	Body     []byte
	Document *hwdocument.Document
}

// hostedBroker is the slot broker of a pool whose broker is this instance.
type hostedBroker struct {
	lock   sync.Mutex
	broker *hwslot.Broker
}

// Router is one router instance of the fleet.
type Router struct {
	settings   Settings
	listeners  Listeners
	store      hwstore.Store
	storeCalls *hwstore.CallCounters
	logger     *hwevent.Logger
	dial       hwpeer.DialFunc
	peers      *hwpeer.Client
	traffic    *hwpeer.Traffic
	upstreams  *hwupstream.Client
	metrics    *metrics
	// current is the installed document, or nil before the first one.
	current atomic.Pointer[installedDocument]
	// listFetched is set once the instance list was read successfully.
	listFetched atomic.Bool
	// selfInList is set once the instance list contains this instance.
	selfInList atomic.Bool
	// gossipReceived is set once a peer has sent its state, including reports of upstream crashes and a newer document.
	gossipReceived atomic.Bool
	startedAt      time.Time
	stopping       atomic.Bool
	servers        []*khttp.Server

	// membersLock guards table. While it is held, only the table's methods are called.
	membersLock sync.Mutex
	table       *hwmember.Table
	view        atomic.Pointer[membershipView]

	// poolsLock guards the maps. Their values have their own locks.
	poolsLock sync.RWMutex
	pools     map[string]*pool
	brokers   map[string]*hostedBroker

	// pacerLock guards pacer.
	pacerLock sync.Mutex
	pacer     *hwslot.Pacer

	ownedPartitions ownedPartitions
	quarantine      *quarantine
	objectiveMeters objectiveMeters
	usage           *usageTracker
	recentRequests  *recentRequests
	// background runs short tasks that no request waits for, and requests counts the requests in progress, which may start some.
	background *taskGroup
	requests   *activity
	// survivalChecks runs the checks of upstreams after answers, which end with the router's context.
	survivalChecks *taskGroup

	// tasksLock guards tasks, the result channels of the goroutines that the router owns. shutdown waits for all of them.
	tasksLock         sync.Mutex
	tasks             []<-chan error
	runContext        context.Context //nolint:containedctx // Pools that a new document brings start goroutines that live as long as the router.
	cancel            context.CancelFunc
	documentInstalled chan struct{}
}

// New returns a router that has not been started yet.
func New(settings Settings, dependencies Dependencies) (*Router, error) {
	if err := settings.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	traffic := &hwpeer.Traffic{}
	runContext, cancel := context.WithCancel(context.Background())
	r := &Router{
		settings:          settings,
		listeners:         dependencies.Listeners,
		store:             dependencies.Store,
		storeCalls:        dependencies.StoreCalls,
		logger:            dependencies.Logger,
		dial:              dependencies.Dial,
		traffic:           traffic,
		peers:             hwpeer.NewClient(settings.Security, settings.Timing.PeerTimeout, dependencies.Dial, traffic),
		upstreams:         hwupstream.NewClient(settings.Timing.DialTimeout),
		metrics:           newMetrics(),
		pools:             map[string]*pool{},
		brokers:           map[string]*hostedBroker{},
		runContext:        runContext,
		startedAt:         time.Now(),
		cancel:            cancel,
		documentInstalled: make(chan struct{}, 1),
		ownedPartitions: ownedPartitions{
			partitions: map[int]*ownedPartition{},
		},
		background:     newTaskGroup(runContext),
		requests:       newActivity(),
		survivalChecks: newTaskGroup(runContext),
		pacer: hwslot.NewPacer(hwslot.PacerSettings{
			BudgetBytesPerSecond: controlTrafficBudget,
			MinInterval:          settings.Timing.ReportInterval,
			MaxInterval:          settings.Timing.HeartbeatInterval,
		}),
		quarantine:     newQuarantine(),
		recentRequests: newRecentRequests(),
		usage:          newUsageTracker(time.Now(), settings),
		table: hwmember.New(hwmember.Settings{
			ProbeInterval:    settings.Timing.ProbeInterval,
			SuspicionTimeout: settings.Timing.SuspicionTimeout,
			IndirectProbes:   indirectProbeCount,
			MaxPiggybackRows: piggybackRows,
			TransmitLimit:    memberRowTransmissions,
		}, hwmember.Row{
			Instance: settings.Instance,
			Address:  settings.PeersAddress,
			Zone:     settings.Zone,
			Boot:     settings.Boot,
		}, rand.NewPCG(settings.Boot, seedMask)),
	}
	r.view.Store(newMembershipView(r.table))
	if r.store != nil {
		r.quarantine.segments.Start(r.startedAt)
	}
	r.servers = append(r.servers, r.server(r.listeners.Callers, r.callersHandler()))
	if r.listeners.Operators != nil {
		r.servers = append(r.servers, r.server(r.listeners.Operators, r.operatorsHandler()))
	}
	return r, nil
}

// controlTrafficBudget is how much traffic to other routers an instance may cause, in bytes per second. Slot reports are sent less often to stay within it.
const controlTrafficBudget = 23_000

// Parameters of the gossip protocol: the indirect probes after a failed one, the member rows in a message, and how often a changed row is passed on.
const (
	indirectProbeCount     = 2
	piggybackRows          = 8
	memberRowTransmissions = 6
)

// Start serves the listeners and runs until the context ends, the router stops or a listener fails. It is part of kratos's transport.Server interface.
func (r *Router) Start(ctx context.Context) error {
	r.logger.Emit(hwevent.RouterStarted,
		hwevent.With("instance", r.settings.Instance),
		hwevent.With("zone", r.settings.Zone),
		hwevent.With("callers", r.listeners.Callers.Addr().String()),
		hwevent.With("peers", r.listeners.Peers.Addr().String()))
	failed := make(chan error, len(r.servers)+1)
	for _, server := range r.servers {
		r.startTask(func(context.Context) error {
			// A server that was closed deliberately returns no error.
			if err := server.Start(r.runContext); err != nil {
				failed <- err
			}
			return nil
		})
	}
	r.startControlTask(func(ctx context.Context) error {
		err := hwpeer.Serve(ctx, r.listeners.Peers, r.settings.Security, peerHandler{Router: r}, r.traffic, func(method string) {
			r.logger.Emit(hwevent.PeerRefused, hwevent.With("method", method))
		})
		if ctx.Err() == nil {
			failed <- err
		}
		return nil
	})
	r.startControlTask(r.pollInstanceList)
	r.startControlTask(r.gossip)
	if r.store != nil {
		r.startControlTask(r.followDocument)
		r.startControlTask(r.recordUsage)
		r.startControlTask(r.keepCrashRecord)
	}
	var failure error
	select {
	case failure = <-failed:
	case <-ctx.Done():
	case <-r.runContext.Done():
	}
	r.cancel()
	return trace.NewAggregate(failure, r.shutdown())
}

// server returns a kratos server. Its default timeout would cut off streams, so it is disabled; a read timeout for headers disconnects slow clients instead.
func (r *Router) server(listener net.Listener, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(
		khttp.Listener(listener),
		khttp.Timeout(0),
	)
	server.HandlePrefix("/", handler)
	server.ReadHeaderTimeout = r.settings.Timing.HeaderTimeout
	server.IdleTimeout = r.settings.Timing.IdleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	return server
}

// maxHeaderBytes is the largest size of a request's headers.
const maxHeaderBytes = 64 << 10

// ProfileWorkLabel is the pprof label for the kind of work that a goroutine does. ProfileControlWork is its value for everything but requests: slot reports, membership, the document, usage. With it, a CPU profile shows the cost of the control plane.
const (
	ProfileWorkLabel   = "work"
	ProfileControlWork = "control"
)

// startControlTask starts a goroutine of the control plane, labelled for the profiler.
func (r *Router) startControlTask(work func(context.Context) error) {
	r.startTask(func(ctx context.Context) error {
		var err error
		pprof.Do(ctx, pprof.Labels(ProfileWorkLabel, ProfileControlWork), func(ctx context.Context) { err = work(ctx) })
		return err
	})
}

// startTask starts a goroutine that shutdown waits for.
func (r *Router) startTask(work func(context.Context) error) {
	r.tasksLock.Lock()
	defer r.tasksLock.Unlock()
	r.tasks = append(r.tasks, hwtask.Start(r.runContext, work))
}

// Stop shuts the router down gracefully: it waits until the requests in flight have finished. It is part of kratos's transport.Server interface.
func (r *Router) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.logger.Emit(hwevent.RouterStopping, hwevent.With("instance", r.settings.Instance))
	r.announceLeave(ctx)
	// The platform's load balancer needs some time to notice that the instance is not ready. Until then new requests are served as before.
	hwtask.Sleep(ctx, r.settings.Timing.DrainGrace)
	failures := make([]error, 0, len(r.servers))
	for _, server := range r.servers {
		// Stop closes the listener and waits for every request in flight.
		failures = append(failures, server.Stop(ctx))
	}
	r.background.wait()
	r.returnSlots(ctx)
	r.flushFinalUsage(ctx)
	r.cancel()
	return trace.NewAggregate(failures...)
}

// shutdown closes servers and connections that are still open, and waits for all goroutines of the router.
func (r *Router) shutdown() error {
	failures := make([]error, 0, len(r.servers))
	for _, server := range r.servers {
		failures = append(failures, server.Close())
	}
	r.upstreams.Close()
	// A request that has lost its connections still reports its outcome.
	r.requests.close()
	failures = append(failures, r.peers.Close())
	r.tasksLock.Lock()
	tasks := slices.Clone(r.tasks)
	r.tasksLock.Unlock()
	failures = append(failures, hwtask.Join(tasks...))
	r.survivalChecks.close()
	r.background.close()
	r.logger.Emit(hwevent.RouterStopped, hwevent.With("instance", r.settings.Instance))
	return trace.NewAggregate(failures...)
}

// callersHandler serves callers' requests. While the router is stopping, it asks callers to close their connections, so that they move to other instances.
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

// Document returns the current document, or nil before the first one is installed.
func (r *Router) Document() *hwdocument.Document {
	if current := r.current.Load(); current != nil {
		return current.Document
	}
	return nil
}

// DocumentVersion returns the version number and digest of the current document, or zero values before the first one is installed.
func (r *Router) DocumentVersion() (uint64, string) {
	version := r.documentIdentity()
	return version.Number, version.Digest
}

// documentIdentity returns the version of the current document, or the zero value before the first one is installed.
func (r *Router) documentIdentity() hwdocument.Version {
	if current := r.current.Load(); current != nil {
		return current.Version
	}
	return hwdocument.Version{}
}

// Ready reports whether the router can serve callers.
func (r *Router) Ready() bool {
	return r.fleetKnown(time.Now()) && r.peerStateKnown(time.Now()) && !r.quarantine.awaitsRecord(time.Now()) && r.Document() != nil && !r.stopping.Load() && r.runContext.Err() == nil
}

// peerStateKnown reports whether a peer has sent its state, or there is no peer to ask. An instance that serves requests before that could run a request that has crashed upstreams at other instances. If no peer responds, the instance serves anyway after startupWaitLimit.
func (r *Router) peerStateKnown(now time.Time) bool {
	return r.gossipReceived.Load() || len(r.AliveInstances()) <= 1 || now.Sub(r.startedAt) > startupWaitLimit
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

// Abort stops the router immediately, like a crash: connections are cut and peers are not notified.
func (r *Router) Abort() error {
	r.cancel()
	return trace.Wrap(r.listeners.Callers.Close())
}
