// Package config reads a router's own settings file: its identity, the addresses
// that it listens on, its seed peers, its budgets and its limits. The settings of
// teams are not part of it; they are stored in the platform's key-value service.
package config

import (
	"os"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/capacity"
	"wisteriaspool/coordination/settings/schema"
)

// Config holds the values of a router's settings file.
type Config struct {
	Instance coordination.Instance
	Zone     coordination.Zone
	Region   string
	Regions  map[coordination.Zone]coordination.Region // of the availability zones that the file names
	Fleet    string
	Listen   Listen
	Peers    Peers
	Platform Platform
	Relay    *Relay // nil if the router serves its own API to callers
	Limits   Limits
	Transfer Transfer
	Log      Log
}

// Listen holds the addresses that the router listens on.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	Advertise string // address at which other routers reach this one; empty means the bound address
}

// Peers holds the settings for communication with other routers.
type Peers struct {
	Seeds    []string
	Bytes    int // budget for control traffic, in bytes per second
	OwnerCap int // maximum number of routers that own endpoints
}

// Platform holds the addresses of the platform's services and the limits of calls
// to them.
type Platform struct {
	KV        []string
	Instances string
	Refresh   time.Duration
	Calls     float64 // budget of the whole fleet, in calls per second
	Timeout   time.Duration
}

// Relay holds the settings of a router that relays plain HTTP on a platform whose
// store holds the desired state and the endpoints.
type Relay struct {
	Store      string        // address of the platform's store
	MinLease   time.Duration // least time for which the store grants leases
	Readiness  string        // address for the readiness checks of the platform's load balancer
	RetryShare float64       // retries of the whole fleet per request
	RetrySlack float64       // retries beyond that share that the endpoints of a pool bear at once
	LoadFactor float64       // maximum load of an endpoint, as a multiple of its pool's mean
	LoadSlack  int           // requests allowed beyond that
	Capacity   capacity.Mode
}

// Limits holds the limits on requests, calls to endpoints and the shutdown. Sizes
// are in bytes.
type Limits struct {
	Memory       int
	BodyBytes    int
	HeaderBytes  int
	HeaderWait   time.Duration
	WriteTimeout time.Duration
	EngineCall   time.Duration
	CancelFor    time.Duration
	LoadInterval time.Duration
	StopWithin   time.Duration
	StopDelay    time.Duration
}

// Transfer holds the settings for moving KV caches away from engines that shut
// down as planned.
type Transfer struct {
	Link          int // bandwidth for one leaving engine, in bytes per second
	BytesPerToken int
	Prefill       time.Duration // time to compute one token of a prompt
}

// Log holds the level and format of the event log.
type Log struct {
	Level logrus.Level
	JSON  bool
}

// logLevels are the valid values of the key level.
var logLevels = []string{"debug", "info", "warning", "error"}

// capacityModes are the valid values of the key capacity.
var capacityModes = []string{capacity.Slots.String(), capacity.Reported.String(), capacity.Measured.String()}

// Schema describes the sections and keys of a router's settings file.
var Schema = schema.Schema{
	{Name: "router", Required: true, Doc: "Identity of this router.", Keys: []schema.Key{
		{Name: "instance", Kind: schema.Name, Required: true, Doc: "Name of this instance, unique in the fleet."},
		{Name: "availability-zone", Kind: schema.Name, Required: true, Doc: "Availability zone of this instance."},
		{Name: "region", Kind: schema.Name, Default: "default", Doc: "Region of the availability zone."},
		{Name: "fleet", Kind: schema.Name, Default: "wisteriaspool", Doc: "Name of the fleet. Routers of other fleets are refused."},
	}},
	{Name: "zone", Named: true, Doc: "An availability zone, as in `[zone \"zone-1\"]`. Routes and client accounts that are limited to some regions are served only in zones that are named here.", Keys: []schema.Key{
		{Name: "region", Kind: schema.Name, Required: true, Doc: "Region of the availability zone."},
	}},
	{Name: "listen", Doc: "Addresses that this router listens on.", Keys: []schema.Key{
		{Name: "callers", Kind: schema.Address, Default: "127.0.0.1:8080", Doc: "Address for callers; the target of the load balancer."},
		{Name: "operators", Kind: schema.Address, Default: "127.0.0.1:8081", Doc: "Address for operators, metrics and health checks."},
		{Name: "peers", Kind: schema.Address, Default: "127.0.0.1:8082", Doc: "Address for other routers."},
		{Name: "advertise", Kind: schema.Address, Doc: "Address at which other routers reach this one. If omitted, that of `peers`."},
	}},
	{Name: "peers", Doc: "Communication with other routers.", Keys: []schema.Key{
		{Name: "seeds", Kind: schema.Addresses, Doc: "Peer addresses of a few other routers, through which this one joins the fleet."},
		{Name: "byte-budget", Kind: schema.Size, Default: "25KiB", Min: "4KiB", Max: "1MiB", Doc: "Control traffic per second. Beyond it soft state is dropped, but never settings."},
		{Name: "owner-cap", Kind: schema.Integer, Unit: "routers", Default: "150", Min: "1", Max: "1000", Doc: "Maximum number of routers that own endpoints. Must be the same on all routers."},
	}},
	{Name: "platform", Optional: true, Doc: "The platform's services. A router has this section or [relay].", Keys: []schema.Key{
		{Name: "kv", Kind: schema.Addresses, Required: true, Doc: "Addresses of the key-value service's JSON gateway."},
		{Name: "instances", Kind: schema.Address, Required: true, Doc: "Address of the list of instances."},
		{Name: "refresh", Kind: schema.Duration, Default: "1s", Min: "100ms", Max: "30s", Doc: "How often the list of instances is read."},
		{Name: "call-budget", Kind: schema.Number, Unit: "calls/s", Default: "300", Min: "1", Max: "100000", Doc: "Calls of the whole fleet. Each router gets an equal share."},
		{Name: "timeout", Kind: schema.Duration, Default: "1s", Min: "50ms", Max: "10s", Doc: "Timeout of one call."},
	}},
	{Name: "relay", Optional: true, Doc: "For a router that relays plain HTTP according to the desired state in the platform's store. Replaces [platform].", Keys: []schema.Key{
		{Name: "store", Kind: schema.Address, Required: true, Doc: "Address of the platform's store."},
		{Name: "min-lease", Kind: schema.Duration, Default: "1s", Min: "0s", Max: "10m", Doc: "Least time for which the store grants leases."},
		{Name: "readiness", Kind: schema.Address, Required: true, Doc: "Address for the readiness checks of the platform's load balancer."},
		{Name: "retry-share", Kind: schema.Number, Unit: "for each request", Default: "0.15", Min: "0", Max: "1", Doc: "Retries of the whole fleet at a pool, for each of its requests."},
		{Name: "retry-slack", Kind: schema.Number, Unit: "requests", Default: "54", Min: "0", Max: "100000", Doc: "Retries of the whole fleet at a pool beyond its share that the endpoints bear when many requests fail at once. The fleet uses three quarters of it, and an eighth when its routers start."},
		{Name: "load-factor", Kind: schema.Number, Unit: "times the mean", Default: "1.8", Min: "1.05", Max: "10", Doc: "Maximum load of an endpoint, relative to the mean of its pool."},
		{Name: "load-slack", Kind: schema.Integer, Unit: "requests", Default: "2", Min: "0", Max: "1000", Doc: "Requests that an endpoint may run beyond `load-factor`."},
		{Name: "capacity", Kind: schema.Name, Default: capacity.Slots.String(), OneOf: capacityModes, Doc: "What limits the load of an endpoint beside `load-factor`: its slots alone (`slots`), or also its measured speed and useful concurrency, in pools whose endpoints report how fast they are (`reported`) or in all pools (`measured`). Must be the same on all routers."},
	}},
	{Name: "limits", Doc: "Limits on requests, calls to endpoints and the shutdown.", Keys: []schema.Key{
		{Name: "memory", Kind: schema.Size, Default: "1GiB", Min: "16MiB", Max: "100GiB", Doc: "Memory that the process may use. Requests hold at most two fifths of it; those that would hold more are refused."},
		{Name: "body", Kind: schema.Size, Default: "1MiB", Min: "1KiB", Max: "64MiB", Doc: "Maximum size of a request body."},
		{Name: "headers", Kind: schema.Size, Default: "16KiB", Min: "4KiB", Max: "1MiB", Doc: "Maximum size of the headers of a request."},
		{Name: "header-wait", Kind: schema.Duration, Default: "5s", Min: "100ms", Max: "60s", Doc: "Timeout for reading the headers of a request."},
		{Name: "write-timeout", Kind: schema.Duration, Default: "20s", Min: "1s", Max: "300s", Doc: "Timeout for a write to a caller that does not read."},
		{Name: "engine-call", Kind: schema.Duration, Default: "500ms", Min: "50ms", Max: "10s", Doc: "Timeout of a short call to an engine."},
		{Name: "cancel-for", Kind: schema.Duration, Default: "15s", Min: "1s", Max: "120s", Doc: "How long the router keeps trying to cancel an attempt whose response nobody reads."},
		{Name: "load-interval", Kind: schema.Duration, Default: "500ms", Min: "100ms", Max: "10s", Doc: "How often the owner of an endpoint reads its load."},
		{Name: "stop-within", Kind: schema.Duration, Default: "120s", Min: "1s", Max: "3600s", Doc: "Maximum duration of a graceful shutdown. Requests still in flight after it are aborted."},
		{Name: "stop-delay", Kind: schema.Duration, Default: "1s", Min: "0s", Max: "60s", Doc: "How long a stopping router still accepts new requests, so that the load balancer can notice that it is not ready. At most half of `stop-within`."},
	}},
	{Name: "transfer", Doc: "Moving the KV caches of an engine's latest chats when it shuts down as planned. A cache is moved only if that takes less time than recomputing it.", Keys: []schema.Key{
		{Name: "link", Kind: schema.Size, Unit: "a second", Default: "119MiB", Min: "1MiB", Max: "100GiB", Doc: "Bandwidth for the caches of one leaving engine through this router. The default corresponds to a link of 1 Gbit/s, over which large caches take longer to move than to recompute and so are not moved."},
		{Name: "kv-per-token", Kind: schema.Size, Default: "128KiB", Min: "1KiB", Max: "16MiB", Doc: "Size of the KV cache of one token."},
		{Name: "prefill-per-token", Kind: schema.Duration, Default: "200us", Min: "1us", Max: "1s", Doc: "Time that an engine takes to compute one token of a prompt."},
	}},
	{Name: "log", Doc: "Level and format of the event log.", Keys: []schema.Key{
		{Name: "level", Kind: schema.Name, Default: "info", OneOf: logLevels, Doc: "Lowest level of the events that are logged."},
		{Name: "json", Kind: schema.Boolean, Default: "true", Doc: "Whether events are logged as one JSON object per line rather than as text."},
	}},
}

// Load reads and parses the file at path. The error is that of reading the file;
// the problems are those that Parse found in it.
func Load(path string) (*Config, []schema.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	c, problems := Parse(path, text)
	return c, problems, nil
}

// Parse parses text; file is the file name for problems. The Config is nil if
// there is any problem.
func Parse(file string, text []byte) (*Config, []schema.Problem) {
	f, problems := Schema.Parse(file, text)
	if len(problems) > 0 {
		return nil, problems
	}
	if problem, ok := checkSource(file, f); !ok {
		return nil, []schema.Problem{problem}
	}
	level, err := logrus.ParseLevel(f.Section("log").Text("level"))
	if err != nil {
		panic("config: the schema allows a level that logrus does not support: " + err.Error())
	}
	c := &Config{
		Listen:   listen(f.Section("listen")),
		Peers:    peers(f.Section("peers")),
		Platform: platform(f.Section("platform")),
		Limits:   limits(f.Section("limits")),
		Transfer: transfer(f.Section("transfer")),
		Log:      Log{Level: level, JSON: f.Section("log").Bool("json")},
	}
	if v := f.Section("relay"); v.Line > 0 {
		c.Relay = relay(v)
	}
	c.setIdentity(f.Section("router"))
	c.Regions = lo.SliceToMap(f.Named("zone"), func(v schema.Values) (coordination.Zone, coordination.Region) {
		return coordination.Zone(v.Name), coordination.Region(v.Text("region"))
	})
	return c, nil
}

// checkSource checks that the file has exactly one of the sections platform and
// relay, which name the source of the router's settings and endpoints. It returns
// false and a problem if not.
func checkSource(file string, f *schema.File) (schema.Problem, bool) {
	onPlatform, relays := f.Section("platform").Line > 0, f.Section("relay").Line > 0
	p := schema.Problem{File: file, Section: "platform"}
	switch {
	case onPlatform && relays:
		p.Message = "both [platform] and [relay] are present; a router needs exactly one of them"
	case !onPlatform && !relays:
		p.Message = "both [platform] and [relay] are missing; a router needs exactly one of them"
	default:
		return p, true
	}
	return p, false
}

func relay(v schema.Values) *Relay {
	mode, ok := capacity.ParseMode(v.Text("capacity"))
	if !ok {
		panic("config: the schema allows an unknown capacity mode: " + v.Text("capacity"))
	}
	return &Relay{
		Store:      v.Text("store"),
		MinLease:   v.Duration("min-lease"),
		Readiness:  v.Text("readiness"),
		RetryShare: v.Float("retry-share"),
		RetrySlack: v.Float("retry-slack"),
		LoadFactor: v.Float("load-factor"),
		LoadSlack:  v.Int("load-slack"),
		Capacity:   mode,
	}
}

// setIdentity sets the fields of c that come from the section router.
func (c *Config) setIdentity(v schema.Values) {
	c.Instance = coordination.Instance(v.Text("instance"))
	c.Zone = coordination.Zone(v.Text("availability-zone"))
	c.Region = v.Text("region")
	c.Fleet = v.Text("fleet")
}

func listen(v schema.Values) Listen {
	return Listen{
		Callers:   v.Text("callers"),
		Operators: v.Text("operators"),
		Peers:     v.Text("peers"),
		Advertise: v.Text("advertise"),
	}
}

func peers(v schema.Values) Peers {
	return Peers{
		Seeds:    v.List("seeds"),
		Bytes:    v.Int("byte-budget"),
		OwnerCap: v.Int("owner-cap"),
	}
}

func platform(v schema.Values) Platform {
	return Platform{
		KV:        v.List("kv"),
		Instances: v.Text("instances"),
		Refresh:   v.Duration("refresh"),
		Calls:     v.Float("call-budget"),
		Timeout:   v.Duration("timeout"),
	}
}

func transfer(v schema.Values) Transfer {
	return Transfer{
		Link:          v.Int("link"),
		BytesPerToken: v.Int("kv-per-token"),
		Prefill:       v.Duration("prefill-per-token"),
	}
}

func limits(v schema.Values) Limits {
	return Limits{
		BodyBytes:    v.Int("body"),
		HeaderBytes:  v.Int("headers"),
		HeaderWait:   v.Duration("header-wait"),
		WriteTimeout: v.Duration("write-timeout"),
		EngineCall:   v.Duration("engine-call"),
		CancelFor:    v.Duration("cancel-for"),
		LoadInterval: v.Duration("load-interval"),
		Memory:       v.Int("memory"),
		StopWithin:   v.Duration("stop-within"),
		StopDelay:    v.Duration("stop-delay"),
	}
}
