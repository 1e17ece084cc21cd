// Package hwworld puts stand-ins and real routers together in one process, on loopback addresses.
package hwworld

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeengine"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakelist"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeservice"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakestore"
	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwhead"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwstore"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// The names that every world uses.
const (
	Environment = "trial"
	Model       = "standin-model"
	ModelPool   = "models"
	ServicePool = "desk"
	ServiceName = "desk"
	OperatorKey = "operator-key"
	sharedKey   = "peer-key"
)

// Settings describe a world.
type Settings struct {
	Routers             int
	Zones               int
	Engines             int
	EngineSlots         int
	Engine              hwfakeengine.Settings
	Services            int
	ServiceSlots        int
	Accounts            []hwdocument.Account
	Coordination        hwrouter.Coordination
	Gain                float64
	Lanes               hwdispatch.LaneRule
	RouterTiming        hwrouter.Timing
	InstanceListDelay   time.Duration
	StoreDelay          time.Duration
	ServiceNetworkDelay time.Duration
	QueueTimeout        time.Duration
	ResumesStreams      bool
	LogOutput           io.Writer
	LogLevel            hwevent.Level
	// EditDocument changes the document before it is put, if it is set.
	EditDocument func(*hwdocument.Document)
}

// Engine is an engine stand-in with its server.
type Engine struct {
	*hwfakeengine.Engine
	Server *Server
}

// Service is a service stand-in with its server.
type Service struct {
	*hwfakeservice.Service
	Server *Server
}

// Router is a real router in the world.
type Router struct {
	Name          string
	Zone          string
	Router        *hwrouter.Router
	ClientAddress string
	// OperatorAddress is the address of the operators' listener.
	OperatorAddress string
	listeners       hwrouter.Listeners
	kill            context.CancelFunc
	ended           <-chan error
}

// Cluster is everything together.
type Cluster struct {
	settings     Settings
	Store        *hwfakestore.Store
	InstanceList *hwfakelist.List
	Network      *Network
	Engines      []*Engine
	Services     []*Service
	servers      []*Server
	store        *Server
	list         *Server
	lock         sync.Mutex
	Routers      []*Router
	boot         uint64
}

// AccountKey returns the key of an account.
func AccountKey(account string) string { return "key-of-" + account }

// AccountKeyDigest returns the digest of an account's key, as the document holds it.
func AccountKeyDigest(account string) string {
	sum := sha256.Sum256([]byte(AccountKey(account)))
	return hex.EncodeToString(sum[:])
}

// New starts the stand-ins and the routers and puts the document.
func New(ctx context.Context, settings Settings) (*Cluster, error) {
	w := &Cluster{
		settings:     settings,
		Store:        hwfakestore.New(time.Now),
		InstanceList: hwfakelist.New(settings.InstanceListDelay, time.Now),
		Network:      NewNetwork(),
		boot:         uint64(time.Now().UnixNano()),
	}
	if err := w.startStandins(); err != nil {
		return nil, trace.Wrap(err)
	}
	document := w.Document()
	if settings.EditDocument != nil {
		settings.EditDocument(document)
	}
	if err := w.PublishDocument(ctx, document); err != nil {
		return nil, trace.Wrap(err)
	}
	for i := range settings.Routers {
		if err := w.StartRouter(fmt.Sprintf("router-%d", i+1), w.zone(i)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return w, nil
}

func (w *Cluster) zone(i int) string {
	return "zone-" + string(rune('a'+i%max(1, w.settings.Zones)))
}

func (w *Cluster) startStandins() error {
	var err error
	if w.store, err = w.serve(w.Store); err != nil {
		return trace.Wrap(err)
	}
	if w.list, err = w.serve(w.InstanceList); err != nil {
		return trace.Wrap(err)
	}
	w.Store.SetFaults(hwfakestore.Faults{
		Delay: w.settings.StoreDelay,
	})
	for i := range w.settings.Engines {
		engine := &Engine{}
		spec := w.settings.Engine
		spec.Name = fmt.Sprintf("engine-%d", i+1)
		spec.Slots = w.settings.EngineSlots
		engine.Engine = hwfakeengine.New(spec, func() { engine.Server.Kill() })
		if engine.Server, err = w.serve(engine.Engine); err != nil {
			return trace.Wrap(err)
		}
		engine.EnforceFencing(checksFencing(i))
		w.Engines = append(w.Engines, engine)
	}
	for range w.settings.Services {
		service := &Service{
			Service: hwfakeservice.New(w.settings.ServiceNetworkDelay),
		}
		if service.Server, err = w.serve(service.Service); err != nil {
			return trace.Wrap(err)
		}
		w.Services = append(w.Services, service)
	}
	return nil
}

func (w *Cluster) serve(handler http.Handler) (*Server, error) {
	server, err := NewServer(handler)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	w.servers = append(w.servers, server)
	return server, nil
}

// Document returns the world's document.
func (w *Cluster) Document() *hwdocument.Document {
	document := &hwdocument.Document{
		Environment: Environment,
		Accounts:    w.settings.Accounts,
	}
	if len(w.Engines) > 0 {
		document.Pools = append(document.Pools, w.modelPool())
	}
	if len(w.Services) > 0 {
		document.Pools = append(document.Pools, w.servicePool())
		document.Services = []hwdocument.Service{service()}
	}
	return document
}

func (w *Cluster) modelPool() hwdocument.Pool {
	pool := hwdocument.Pool{
		Name:            ModelPool,
		Kind:            hwdocument.KindEngine,
		Models:          []string{Model},
		Slots:           w.settings.EngineSlots,
		GeneratedWeight: 1,
		QueueTimeout:    hwdocument.Duration(w.settings.QueueTimeout),
		ProgressTimeout: hwdocument.Duration(2 * time.Second),
		ResumesStreams:  w.settings.ResumesStreams,
		LargestCost:     1000,
	}
	for i, engine := range w.Engines {
		pool.Upstreams = append(pool.Upstreams, hwdocument.Upstream{
			Address:       engine.Server.Address(),
			Zone:          w.zone(i),
			ChecksFencing: checksFencing(i),
		})
	}
	return pool
}

// checksFencing says which engines refuse old fencing numbers: every other one, as in a mixed deployment.
func checksFencing(i int) bool { return i%2 == 0 }

func (w *Cluster) servicePool() hwdocument.Pool {
	pool := hwdocument.Pool{
		Name:  ServicePool,
		Kind:  hwdocument.KindService,
		Slots: w.settings.ServiceSlots,
	}
	for i, service := range w.Services {
		pool.Upstreams = append(pool.Upstreams, hwdocument.Upstream{
			Address: service.Server.Address(),
			Zone:    w.zone(i),
		})
	}
	return pool
}

func service() hwdocument.Service {
	return hwdocument.Service{
		Name: ServiceName,
		Pool: ServicePool,
		Routes: []hwdocument.Route{
			{
				Path:     "/orders",
				Methods:  []string{http.MethodPost},
				Deadline: hwdocument.Duration(3 * time.Second),
			},
			{
				Path:       "/lookups",
				Methods:    []string{http.MethodGet, http.MethodPost},
				Idempotent: true,
				Deadline:   hwdocument.Duration(3 * time.Second),
			},
		},
	}
}

// StoreClient returns a client of the store that no cut reaches.
func (w *Cluster) StoreClient(timeout time.Duration) *hwstore.Etcd {
	return hwstore.NewEtcd("http://"+w.store.Address(), timeout, &http.Client{})
}

// StoreEndpoint returns the store's URL.
func (w *Cluster) StoreEndpoint() string { return "http://" + w.store.Address() }

// ListEndpoint returns the URL of the instance list.
func (w *Cluster) ListEndpoint() string { return "http://" + w.list.Address() + "/instances" }

// VersionConflictError says that another operator won.
type VersionConflictError = hwhead.VersionConflictError

// writePatience is how long a lost answer of the store is read back.
const writePatience = 10 * time.Second

func (w *Cluster) publisher() *hwhead.Publisher {
	return hwhead.New(w.StoreClient(time.Second), writePatience)
}

// PublishDocument writes a document as the next version, valid or not: operators' tools check documents before, and routers must not rely on that.
func (w *Cluster) PublishDocument(ctx context.Context, document *hwdocument.Document) error {
	body, err := yaml.Marshal(document)
	if err != nil {
		return trace.Wrap(err)
	}
	publisher := w.publisher()
	current, err := publisher.ReadHead(ctx, Environment)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := publisher.PutBody(ctx, hwdocument.Digest(body), body); err != nil {
		return trace.Wrap(err)
	}
	_, err = publisher.SwapHead(ctx, time.Now(), current, hwhead.HeadWrite{
		Environment: Environment,
		Digest:      hwdocument.Digest(body),
		Author:      "world",
		OperationID: hwintake.NewID(),
	})
	return trace.Wrap(err)
}

// CurrentHead returns the head as it is now.
func (w *Cluster) CurrentHead(ctx context.Context) (hwhead.StoredHead, error) {
	return w.publisher().ReadHead(ctx, Environment)
}

// Promote makes the document of a head that was read before the next version, as an operator.
func (w *Cluster) Promote(ctx context.Context, current hwhead.StoredHead, operator string) error {
	_, err := w.publisher().SwapHead(ctx, time.Now(), current, hwhead.HeadWrite{
		Environment: Environment,
		Digest:      current.Head.Digest,
		Author:      operator,
		OperationID: hwintake.NewID(),
	})
	return trace.Wrap(err)
}

// StartRouter starts a router under a name, as a new life with empty state.
func (w *Cluster) StartRouter(name, zone string) error {
	listeners, err := listen()
	if err != nil {
		return trace.Wrap(err)
	}
	w.lock.Lock()
	w.boot++
	boot := w.boot
	w.lock.Unlock()
	peers := listeners.Peers.Addr().String()
	w.Network.own(peers, name)
	dial := w.Network.Dial(name)
	store := hwstore.NewEtcd(w.StoreEndpoint(), time.Second, &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 8,
		},
	})
	log := w.settings.LogOutput
	if log == nil {
		log = io.Discard
	}
	router, err := hwrouter.New(hwrouter.Settings{
		Instance:        name,
		Zone:            zone,
		Environment:     Environment,
		Boot:            boot,
		PeersAddress:    peers,
		InstanceListURL: w.ListEndpoint(),
		OperatorKey:     OperatorKey,
		Coordination:    w.settings.Coordination,
		Gain:            w.settings.Gain,
		Lanes:           w.settings.Lanes,
		Security: hwpeer.Security{
			SharedKey: sharedKey,
		},
		Timing:       w.settings.RouterTiming,
		MaxBodyBytes: hwrouter.DefaultMaxBodyBytes,
	}, hwrouter.Dependencies{
		Listeners:  listeners,
		Store:      store,
		StoreCalls: store.Counters(),
		Logger:     hwevent.New(log, w.settings.LogLevel),
		Dial:       dial,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	w.run(router, name, zone, listeners)
	w.InstanceList.Put(hwfakelist.Instance{
		Name:    name,
		Address: peers,
		Zone:    zone,
	})
	return nil
}

func (w *Cluster) run(router *hwrouter.Router, name, zone string, listeners hwrouter.Listeners) {
	ctx, kill := context.WithCancel(context.Background())
	started := &Router{
		Name:            name,
		Zone:            zone,
		Router:          router,
		ClientAddress:   listeners.Callers.Addr().String(),
		OperatorAddress: listeners.Operators.Addr().String(),
		listeners:       listeners,
		kill:            kill,
		ended:           hwtask.Start(ctx, router.Start),
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	i := slices.IndexFunc(w.Routers, func(r *Router) bool { return r.Name == name })
	if i < 0 {
		w.Routers = append(w.Routers, started)
		return
	}
	w.Routers[i] = started
}

func listen() (hwrouter.Listeners, error) {
	var open [3]net.Listener
	for i := range open {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return hwrouter.Listeners{}, trace.Wrap(err)
		}
		open[i] = listener
	}
	return hwrouter.Listeners{
		Callers:   open[0],
		Peers:     open[1],
		Operators: open[2],
	}, nil
}

// PeerAddress returns the address of the router's peers' listener.
func (r *Router) PeerAddress() string { return r.listeners.Peers.Addr().String() }

// FindRouter returns a router by name.
func (w *Cluster) FindRouter(name string) (*Router, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, r := range w.Routers {
		if r.Name == name {
			return r, nil
		}
	}
	return nil, trace.NotFound("there is no router %s", name)
}

// Kill ends a router without any farewell.
func (r *Router) Kill() {
	_ = r.Router.Abort()
	r.kill()
	_ = hwtask.Join(r.ended)
}

// Stop ends a router gracefully, as SIGTERM does.
func (r *Router) Stop(ctx context.Context) error {
	err := r.Router.Stop(ctx)
	return trace.NewAggregate(err, hwtask.Join(r.ended))
}

// WaitReady waits until every router is ready and holds leases or floors.
func (w *Cluster) WaitReady(ctx context.Context) error {
	for _, r := range w.AllRouters() {
		for !r.Router.Ready() {
			select {
			case <-ctx.Done():
				return trace.LimitExceeded("router %s did not get ready", r.Name)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}

// AllRouters returns the routers.
func (w *Cluster) AllRouters() []*Router {
	w.lock.Lock()
	defer w.lock.Unlock()
	return slices.Clone(w.Routers)
}

// Close ends everything.
func (w *Cluster) Close() {
	for _, r := range w.AllRouters() {
		r.Kill()
	}
	for _, s := range w.servers {
		s.Close()
	}
}
