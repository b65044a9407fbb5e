// Package platform speaks to the platform: its key-value service, by etcd v3's
// JSON gateway, and its list of instances. It decides nothing; what it must get
// right is to tell a call that certainly had no effect from one that may have
// had it.
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"wisteriaspool/coordination/kv"
)

// Defaults of Config.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultDialTimeout = 500 * time.Millisecond
)

// Op names a kind of call, as metrics show it.
type Op string

// The kinds of calls.
const (
	OpGet       Op = "get"
	OpList      Op = "list"
	OpCAS       Op = "cas"
	OpDelete    Op = "delete"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keepalive"
	OpWatch     Op = "watch"
	OpInstances Op = "instances"
)

// Config says where the platform is and how long to wait for it.
type Config struct {
	// Endpoints are base URLs of the key-value service, such as
	// http://10.0.0.1:2379. The first one that can be reached is used.
	Endpoints []string
	// InstancesURL is the base URL of the list of instances; empty means the
	// first endpoint.
	InstancesURL string
	// Timeout bounds each call with all its tries; zero means DefaultTimeout.
	Timeout time.Duration
	// DialTimeout bounds the making of one connection; zero means
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// DialContext makes connections; nil means TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// OnCall, if set, is told of every call that ended, a try at a second
	// endpoint included.
	OnCall func(op Op, status kv.Status, d time.Duration)
}

// Client is a client of the platform. It implements kv.Store and is safe for
// concurrent use.
type Client struct {
	cfg       Config
	endpoints []string
	instancesURL string
	httpClient        *http.Client
	current   atomic.Uint32 // index of the endpoint that answered last
}

var _ kv.Store = (*Client)(nil)

// New returns a client, and a function that closes its idle connections. No
// connection is made before the first call.
func New(cfg Config) (*Client, func(), error) {
	if len(cfg.Endpoints) == 0 {
		return nil, nil, errors.New("platform: no endpoint given")
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	c := &Client{cfg: cfg, instancesURL: cfg.InstancesURL}
	for _, e := range cfg.Endpoints {
		base, err := baseURL(e)
		if err != nil {
			return nil, nil, err
		}
		c.endpoints = append(c.endpoints, base)
	}
	if c.instancesURL == "" {
		c.instancesURL = c.endpoints[0]
	}
	base, err := baseURL(c.instancesURL)
	if err != nil {
		return nil, nil, err
	}
	c.instancesURL = base
	transport := newTransport(cfg)
	c.httpClient = &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return c, transport.CloseIdleConnections, nil
}

// baseURL checks a base URL and cuts off its last slash.
func baseURL(s string) (string, error) {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", errors.New("platform: not an http or https URL: " + s)
	}
	return strings.TrimRight(s, "/"), nil
}
