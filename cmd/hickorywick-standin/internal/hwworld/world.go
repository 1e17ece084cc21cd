// Package hwworld runs a test cluster in one process on loopback addresses: real routers, and stand-ins for the store, the instance list, engines and services.
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

// Names and keys that are the same in every test cluster.
const (
	Environment = "trial"
	Model       = "standin-model"
	ModelPool   = "models"
	ServicePool = "desk"
	ServiceName = "desk"
	OperatorKey = "operator-key"
	sharedKey   = "peer-key"
)

// Settings configure a test cluster.
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
	// EditDocument, if set, modifies the initial document before it is published.
	EditDocument func(*hwdocument.Document)
}

// Engine is a stand-in for an engine and the server that it runs on.
type Engine struct {
	*hwfakeengine.Engine
	Server *Server
}

// Service is a stand-in for a service and the server that it runs on.
type Service struct {
	*hwfakeservice.Service
	Server *Server
}

// Router is a real router that runs in the cluster.
type Router struct {
	Name          string
	Zone          string
	Router        *hwrouter.Router
	ClientAddress string
	// OperatorAddress is the address of the listener for operator requests.
	OperatorAddress string
	listeners       hwrouter.Listeners
	cancel          context.CancelFunc
	done            <-chan error
}

// Cluster is a test cluster of routers, engines, services, a store and an instance list.
type Cluster struct {
	settings           Settings
	Store              *hwfakestore.Store
	InstanceList       *hwfakelist.List
	Network            *Network
	Engines            []*Engine
	Services           []*Service
	servers            []*Server
	storeServer        *Server
	instanceListServer *Server
	lock               sync.Mutex
	Routers            []*Router
	lastBoot           uint64
}

// AccountKey returns the API key of a client account.
func AccountKey(account string) string { return "key-of-" + account }

// AccountKeyDigest returns the hexadecimal SHA-256 digest of an account's API key, as stored in the document.
func AccountKeyDigest(account string) string {
	sum := sha256.Sum256([]byte(AccountKey(account)))
	return hex.EncodeToString(sum[:])
}

// New starts the stand-ins, publishes the initial document and starts the routers.
func New(ctx context.Context, settings Settings) (*Cluster, error) {
	c := &Cluster{
		settings:     settings,
		Store:        hwfakestore.New(time.Now),
		InstanceList: hwfakelist.New(settings.InstanceListDelay, time.Now),
		Network:      NewNetwork(),
		lastBoot:     uint64(time.Now().UnixNano()),
	}
	if err := c.startStandins(); err != nil {
		return nil, trace.Wrap(err)
	}
	document := c.Document()
	if settings.EditDocument != nil {
		settings.EditDocument(document)
	}
	if err := c.PublishDocument(ctx, document); err != nil {
		return nil, trace.Wrap(err)
	}
	for i := range settings.Routers {
		if err := c.StartRouter(fmt.Sprintf("router-%d", i+1), c.zoneName(i)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return c, nil
}

func (c *Cluster) zoneName(i int) string {
	return "zone-" + string(rune('a'+i%max(1, c.settings.Zones)))
}

func (c *Cluster) startStandins() error {
	var err error
	if c.storeServer, err = c.startServer(c.Store); err != nil {
		return trace.Wrap(err)
	}
	if c.instanceListServer, err = c.startServer(c.InstanceList); err != nil {
		return trace.Wrap(err)
	}
	c.Store.SetFaults(hwfakestore.Faults{
		Delay: c.settings.StoreDelay,
	})
	for i := range c.settings.Engines {
		engine := &Engine{}
		engineSettings := c.settings.Engine
		engineSettings.Name = fmt.Sprintf("engine-%d", i+1)
		engineSettings.Slots = c.settings.EngineSlots
		engine.Engine = hwfakeengine.New(engineSettings, func() { engine.Server.Kill() })
		if engine.Server, err = c.startServer(engine.Engine); err != nil {
			return trace.Wrap(err)
		}
		engine.EnforceFencing(enforcesFencing(i))
		c.Engines = append(c.Engines, engine)
	}
	for range c.settings.Services {
		service := &Service{
			Service: hwfakeservice.New(c.settings.ServiceNetworkDelay),
		}
		if service.Server, err = c.startServer(service.Service); err != nil {
			return trace.Wrap(err)
		}
		c.Services = append(c.Services, service)
	}
	return nil
}

func (c *Cluster) startServer(handler http.Handler) (*Server, error) {
	server, err := NewServer(handler)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.servers = append(c.servers, server)
	return server, nil
}

// Document builds the cluster's default document from its settings.
func (c *Cluster) Document() *hwdocument.Document {
	document := &hwdocument.Document{
		Environment: Environment,
		Accounts:    c.settings.Accounts,
	}
	if len(c.Engines) > 0 {
		document.Pools = append(document.Pools, c.modelPool())
	}
	if len(c.Services) > 0 {
		document.Pools = append(document.Pools, c.servicePool())
		document.Services = []hwdocument.Service{serviceDocument()}
	}
	return document
}

func (c *Cluster) modelPool() hwdocument.Pool {
	pool := hwdocument.Pool{
		Name:            ModelPool,
		Kind:            hwdocument.KindEngine,
		Models:          []string{Model},
		Slots:           c.settings.EngineSlots,
		GeneratedWeight: 1,
		QueueTimeout:    hwdocument.Duration(c.settings.QueueTimeout),
		ProgressTimeout: hwdocument.Duration(2 * time.Second),
		ResumesStreams:  c.settings.ResumesStreams,
		LargestCost:     1000,
	}
	for i, engine := range c.Engines {
		pool.Upstreams = append(pool.Upstreams, hwdocument.Upstream{
			Address:       engine.Server.Address(),
			Zone:          c.zoneName(i),
			ChecksFencing: enforcesFencing(i),
		})
	}
	return pool
}

// enforcesFencing reports whether the engine with this index rejects stale fencing tokens. Every other engine does, as in a mixed deployment.
func enforcesFencing(i int) bool { return i%2 == 0 }

func (c *Cluster) servicePool() hwdocument.Pool {
	pool := hwdocument.Pool{
		Name:  ServicePool,
		Kind:  hwdocument.KindService,
		Slots: c.settings.ServiceSlots,
	}
	for i, service := range c.Services {
		pool.Upstreams = append(pool.Upstreams, hwdocument.Upstream{
			Address: service.Server.Address(),
			Zone:    c.zoneName(i),
		})
	}
	return pool
}

func serviceDocument() hwdocument.Service {
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

// StoreClient returns a store client that bypasses the simulated network, so that partitions do not affect it.
func (c *Cluster) StoreClient(timeout time.Duration) *hwstore.Etcd {
	return hwstore.NewEtcd("http://"+c.storeServer.Address(), timeout, &http.Client{})
}

// StoreEndpoint returns the store's URL.
func (c *Cluster) StoreEndpoint() string { return "http://" + c.storeServer.Address() }

// ListEndpoint returns the URL of the instance list.
func (c *Cluster) ListEndpoint() string {
	return "http://" + c.instanceListServer.Address() + "/instances"
}

// VersionConflictError reports that another operator published a version first.
type VersionConflictError = hwhead.VersionConflictError

// writeReadbackTimeout bounds the read-backs that determine the outcome of a write whose response was lost.
const writeReadbackTimeout = 10 * time.Second

func (c *Cluster) publisher() *hwhead.Publisher {
	return hwhead.New(c.StoreClient(time.Second), writeReadbackTimeout)
}

// PublishDocument publishes a document as the next version without validating it. Operator tools validate documents before publishing, but routers must not rely on that.
func (c *Cluster) PublishDocument(ctx context.Context, document *hwdocument.Document) error {
	body, err := yaml.Marshal(document)
	if err != nil {
		return trace.Wrap(err)
	}
	publisher := c.publisher()
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

// CurrentHead reads the current head from the store.
func (c *Cluster) CurrentHead(ctx context.Context) (hwhead.StoredHead, error) {
	return c.publisher().ReadHead(ctx, Environment)
}

// Promote publishes the document of a previously read head as the next version on behalf of an operator. It fails if the head has changed since.
func (c *Cluster) Promote(ctx context.Context, current hwhead.StoredHead, operator string) error {
	_, err := c.publisher().SwapHead(ctx, time.Now(), current, hwhead.HeadWrite{
		Environment: Environment,
		Digest:      current.Head.Digest,
		Author:      operator,
		OperationID: hwintake.NewID(),
	})
	return trace.Wrap(err)
}

// StartRouter starts a router with empty state and a new boot number. It replaces a router of the same name.
func (c *Cluster) StartRouter(name, zone string) error {
	listeners, err := openListeners()
	if err != nil {
		return trace.Wrap(err)
	}
	c.lock.Lock()
	c.lastBoot++
	boot := c.lastBoot
	c.lock.Unlock()
	peerAddress := listeners.Peers.Addr().String()
	c.Network.registerListener(peerAddress, name)
	dial := c.Network.Dial(name)
	store := hwstore.NewEtcd(c.StoreEndpoint(), time.Second, &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 8,
		},
	})
	log := c.settings.LogOutput
	if log == nil {
		log = io.Discard
	}
	router, err := hwrouter.New(hwrouter.Settings{
		Instance:        name,
		Zone:            zone,
		Environment:     Environment,
		Boot:            boot,
		PeersAddress:    peerAddress,
		InstanceListURL: c.ListEndpoint(),
		OperatorKey:     OperatorKey,
		Coordination:    c.settings.Coordination,
		Gain:            c.settings.Gain,
		Lanes:           c.settings.Lanes,
		Security: hwpeer.Security{
			SharedKey: sharedKey,
		},
		Timing:       c.settings.RouterTiming,
		MaxBodyBytes: hwrouter.DefaultMaxBodyBytes,
	}, hwrouter.Dependencies{
		Listeners:  listeners,
		Store:      store,
		StoreCalls: store.Counters(),
		Logger:     hwevent.New(log, c.settings.LogLevel),
		Dial:       dial,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	c.runRouter(router, name, zone, listeners)
	c.InstanceList.Put(hwfakelist.Instance{
		Name:    name,
		Address: peerAddress,
		Zone:    zone,
	})
	return nil
}

func (c *Cluster) runRouter(router *hwrouter.Router, name, zone string, listeners hwrouter.Listeners) {
	ctx, cancel := context.WithCancel(context.Background())
	started := &Router{
		Name:            name,
		Zone:            zone,
		Router:          router,
		ClientAddress:   listeners.Callers.Addr().String(),
		OperatorAddress: listeners.Operators.Addr().String(),
		listeners:       listeners,
		cancel:          cancel,
		done:            hwtask.Start(ctx, router.Start),
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	i := slices.IndexFunc(c.Routers, func(r *Router) bool { return r.Name == name })
	if i < 0 {
		c.Routers = append(c.Routers, started)
		return
	}
	c.Routers[i] = started
}

func openListeners() (hwrouter.Listeners, error) {
	var listeners [3]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return hwrouter.Listeners{}, trace.Wrap(err)
		}
		listeners[i] = listener
	}
	return hwrouter.Listeners{
		Callers:   listeners[0],
		Peers:     listeners[1],
		Operators: listeners[2],
	}, nil
}

// PeerAddress returns the address of the router's listener for peers.
func (r *Router) PeerAddress() string { return r.listeners.Peers.Addr().String() }

// FindRouter returns the router with the given name.
func (c *Cluster) FindRouter(name string) (*Router, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, r := range c.Routers {
		if r.Name == name {
			return r, nil
		}
	}
	return nil, trace.NotFound("router %s does not exist", name)
}

// Kill stops a router abruptly, without notifying its peers.
func (r *Router) Kill() {
	_ = r.Router.Abort()
	r.cancel()
	_ = hwtask.Join(r.done)
}

// Stop shuts a router down gracefully, as SIGTERM does.
func (r *Router) Stop(ctx context.Context) error {
	err := r.Router.Stop(ctx)
	return trace.NewAggregate(err, hwtask.Join(r.done))
}

// WaitReady waits until every router reports that it is ready to serve clients.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, r := range c.AllRouters() {
		for !r.Router.Ready() {
			select {
			case <-ctx.Done():
				return trace.LimitExceeded("timed out waiting for router %s to become ready", r.Name)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}

// AllRouters returns a copy of the list of routers.
func (c *Cluster) AllRouters() []*Router {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.Routers)
}

// Close kills all routers and closes the servers of all stand-ins.
func (c *Cluster) Close() {
	for _, r := range c.AllRouters() {
		r.Kill()
	}
	for _, s := range c.servers {
		s.Close()
	}
}
