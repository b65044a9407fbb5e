// Package config reads a router's own settings file: who it is, where it
// listens, whom it knows and what it may spend. What serves a team is not
// here but in the team's subtree of the platform's service.
package config

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/settings/schema"
)

// Config is a router's settings file.
type Config struct {
	Instance coordination.Instance
	Zone     coordination.Zone
	Region   string
	Fleet    string
	Listen   Listen
	Peers    Peers
	Platform Platform
	Relay    *Relay // nil if the router serves callers by its own interface
	Limits   Limits
	Transfer Transfer
	Log      Log
}

// Listen holds the addresses that the router listens on.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	Advertise string // where other routers reach this one; empty for the bound address
}

// Peers holds what concerns other routers.
type Peers struct {
	Seeds    []string
	Bytes    int // budget for all control traffic, bytes a second
	OwnerCap int // routers that own endpoints, at most
}

// Platform holds what concerns the platform's service.
type Platform struct {
	KV        []string
	Instances string
	Refresh   time.Duration
	Calls     float64 // budget of the whole fleet, calls a second
	Timeout   time.Duration
}

// Relay holds what concerns a router that relays plain HTTP on a platform whose
// store holds the desired state and the endpoints.
type Relay struct {
	Store      string  // address of the platform's store
	Readiness  string  // address on which the platform's balancer asks
	RetryShare float64 // second attempts of the whole fleet for each request
	RetryBurst int     // and beyond those, in RetryWindow
	LoadFactor float64 // multiple of its pool's mean load that an endpoint may carry
	LoadSlack  int     // requests beyond that
}

// Limits are the router's limits.
type Limits struct {
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

// Transfer holds what concerns the moving of KV caches away from engines that
// leave as planned.
type Transfer struct {
	Link          int // bytes a second for one leaving engine
	BytesPerToken int
	Prefill       time.Duration // for one token of a prompt
}

// Log holds how events are written.
type Log struct {
	Level logrus.Level
	JSON  bool
}

// logLevels are the names of logLevels that a file may have.
var logLevels = []string{"debug", "info", "warning", "error"}

// Schema is the table of a router's settings file.
var Schema = schema.Schema{
	{Name: "router", Required: true, Doc: "Who this router is.", Keys: []schema.Key{
		{Name: "instance", Kind: schema.Name, Required: true, Doc: "Name of this instance, unique in the fleet."},
		{Name: "availability-zone", Kind: schema.Name, Required: true, Doc: "Availability zone of this instance."},
		{Name: "region", Kind: schema.Name, Default: "default", Doc: "Region of the availability zone."},
		{Name: "fleet", Kind: schema.Name, Default: "wisteriaspool", Doc: "Name of the fleet; routers of another one are refused."},
	}},
	{Name: "listen", Doc: "Where this router listens.", Keys: []schema.Key{
		{Name: "callers", Kind: schema.Address, Default: "127.0.0.1:8080", Doc: "Address for callers; the balancer points here."},
		{Name: "operators", Kind: schema.Address, Default: "127.0.0.1:8081", Doc: "Address for operators, metrics and health checks."},
		{Name: "peers", Kind: schema.Address, Default: "127.0.0.1:8082", Doc: "Address for other routers."},
		{Name: "advertise", Kind: schema.Address, Doc: "Address at which other routers reach this one; that of peers if left out."},
	}},
	{Name: "peers", Doc: "What concerns other routers.", Keys: []schema.Key{
		{Name: "seeds", Kind: schema.Addresses, Doc: "Peer addresses of a few other routers, to join the fleet by."},
		{Name: "byte-budget", Kind: schema.Size, Default: "25KiB", Min: "4KiB", Max: "1MiB", Doc: "Control traffic a second. Soft state is dropped beyond it, settings never."},
		{Name: "owner-cap", Kind: schema.Integer, Unit: "routers", Default: "150", Min: "1", Max: "1000", Doc: "How many routers own endpoints at most. Has to be the same on all routers."},
	}},
	{Name: "platform", Optional: true, Doc: "The platform's services. A router has this section or [relay].", Keys: []schema.Key{
		{Name: "kv", Kind: schema.Addresses, Required: true, Doc: "Addresses of the key-value service's JSON gateway."},
		{Name: "instances", Kind: schema.Address, Required: true, Doc: "Address of the list of instances."},
		{Name: "refresh", Kind: schema.Duration, Default: "1s", Min: "100ms", Max: "30s", Doc: "How often the list of instances is read."},
		{Name: "call-budget", Kind: schema.Number, Unit: "calls/s", Default: "300", Min: "1", Max: "100000", Doc: "Calls of the whole fleet; each router takes an equal share."},
		{Name: "timeout", Kind: schema.Duration, Default: "1s", Min: "50ms", Max: "10s", Doc: "Longest wait for one call."},
	}},
	{Name: "relay", Optional: true, Doc: "For a router that relays plain HTTP by the desired state in the platform's store, in place of [platform].", Keys: []schema.Key{
		{Name: "store", Kind: schema.Address, Required: true, Doc: "Address of the platform's store."},
		{Name: "readiness", Kind: schema.Address, Required: true, Doc: "Address on which the platform's balancer asks whether the router is ready."},
		{Name: "retry-share", Kind: schema.Number, Unit: "for each request", Default: "0.15", Min: "0", Max: "1", Doc: "Second attempts of the whole fleet at a pool, for each of its requests."},
		{Name: "retry-burst", Kind: schema.Integer, Unit: "requests", Default: "40", Min: "0", Max: "100000", Doc: "Second attempts of the whole fleet at a pool beyond its share, when many fail at once."},
		{Name: "load-factor", Kind: schema.Number, Unit: "times the mean", Default: "1.8", Min: "1.05", Max: "10", Doc: "Load of an endpoint against the mean of its pool, at most."},
		{Name: "load-slack", Kind: schema.Integer, Unit: "requests", Default: "2", Min: "0", Max: "1000", Doc: "Requests that an endpoint may run beyond that."},
	}},
	{Name: "limits", Doc: "Limits towards callers and endpoints.", Keys: []schema.Key{
		{Name: "body", Kind: schema.Size, Default: "1MiB", Min: "1KiB", Max: "64MiB", Doc: "Largest body of a request."},
		{Name: "headers", Kind: schema.Size, Default: "16KiB", Min: "4KiB", Max: "1MiB", Doc: "Largest headers of a request."},
		{Name: "header-wait", Kind: schema.Duration, Default: "5s", Min: "100ms", Max: "60s", Doc: "Longest wait for a request's headers."},
		{Name: "write-timeout", Kind: schema.Duration, Default: "20s", Min: "1s", Max: "300s", Doc: "Longest wait for a caller to take what it is sent."},
		{Name: "engine-call", Kind: schema.Duration, Default: "500ms", Min: "50ms", Max: "10s", Doc: "Longest wait for a short call of an engine."},
		{Name: "cancel-for", Kind: schema.Duration, Default: "15s", Min: "1s", Max: "120s", Doc: "How long an attempt that nobody reads is tried to be cancelled."},
		{Name: "load-interval", Kind: schema.Duration, Default: "500ms", Min: "100ms", Max: "10s", Doc: "How often the owner of an endpoint reads its load."},
		{Name: "stop-within", Kind: schema.Duration, Default: "120s", Min: "1s", Max: "3600s", Doc: "Longest graceful shutdown; what is in flight behind it is cut off."},
		{Name: "stop-delay", Kind: schema.Duration, Default: "1s", Min: "0s", Max: "60s", Doc: "How long a router that stops still takes new requests, until the balancer has seen that it is not ready; half of `stop-within` at most."},
	}},
	{Name: "transfer", Doc: "Moving the KV caches of an engine's latest chats when it leaves as planned. A cache is moved only if that takes less time than to compute it again.", Keys: []schema.Key{
		{Name: "link", Kind: schema.Size, Unit: "a second", Default: "119MiB", Min: "1MiB", Max: "100GiB", Doc: "What may be moved for one leaving engine, through this router. The default is a link of 1 Gbit/s, on which large caches do not pay and stay."},
		{Name: "kv-per-token", Kind: schema.Size, Default: "128KiB", Min: "1KiB", Max: "16MiB", Doc: "Size of the KV cache of one token."},
		{Name: "prefill-per-token", Kind: schema.Duration, Default: "200us", Min: "1us", Max: "1s", Doc: "Time in which an engine computes one token of a prompt."},
	}},
	{Name: "log", Doc: "How events are written.", Keys: []schema.Key{
		{Name: "level", Kind: schema.Name, Default: "info", OneOf: logLevels, Doc: "Least level of what is written."},
		{Name: "json", Kind: schema.Boolean, Default: "true", Doc: "One JSON object a line rather than text."},
	}},
}

// Load reads the file at path. The error is that of reading; problems are
// those of the text.
func Load(path string) (*Config, []schema.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	c, problems := Parse(path, text)
	return c, problems, nil
}

// Parse reads text. The Config is nil if there is any problem.
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
		panic("config: the table allows a level that logrus does not know: " + err.Error())
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
	return c, nil
}

// checkSource checks that the file says where the router's settings and
// endpoints come from, and says it once.
func checkSource(file string, f *schema.File) (schema.Problem, bool) {
	onPlatform, relays := f.Section("platform").Line > 0, f.Section("relay").Line > 0
	p := schema.Problem{File: file, Section: "platform"}
	switch {
	case onPlatform && relays:
		p.Message = "stands beside [relay]; a router has one of them"
	case !onPlatform && !relays:
		p.Message = "the section is missing, and so is [relay]; a router has one of them"
	default:
		return p, true
	}
	return p, false
}

func relay(v schema.Values) *Relay {
	return &Relay{
		Store:      v.Text("store"),
		Readiness:  v.Text("readiness"),
		RetryShare: v.Float("retry-share"),
		RetryBurst: v.Int("retry-burst"),
		LoadFactor: v.Float("load-factor"),
		LoadSlack:  v.Int("load-slack"),
	}
}

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
		StopWithin:   v.Duration("stop-within"),
		StopDelay:    v.Duration("stop-delay"),
	}
}
