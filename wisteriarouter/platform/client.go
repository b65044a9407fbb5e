// Package platform is a client of the platform's key-value service, which it
// calls through the JSON gateway of etcd v3, and of the platform's list of
// instances. It distinguishes calls that certainly had no effect from those that
// may have been applied, and leaves every decision to its callers.
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

	"wisteriaspool/coordination/http1"
	"wisteriaspool/coordination/kv"
)

// Defaults of Config.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultDialTimeout = 500 * time.Millisecond
)

// Op is a kind of call, and the name of that kind in metrics.
type Op string

// Kinds of calls.
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

// Config holds the addresses of the platform and the timeouts of its client.
type Config struct {
	// Endpoints are base URLs of the key-value service, such as
	// http://10.0.0.1:2379. Calls start at the endpoint used last, initially
	// the first, and move on to the next one when it fails.
	Endpoints []string
	// InstancesURL is the base URL of the list of instances; empty means the
	// first endpoint.
	InstancesURL string
	// Timeout limits each call including all its attempts; zero means
	// DefaultTimeout. Of a watch, it limits only the opening.
	Timeout time.Duration
	// DialTimeout limits the establishing of one connection; zero means
	// DefaultDialTimeout. It has no effect if DialContext is set.
	DialTimeout time.Duration
	// DialContext establishes connections; nil means TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// OnCall, if not nil, is called after every attempt at a call and every
	// opening of a watch, with the time that it took.
	OnCall func(op Op, status kv.Status, d time.Duration)
}

// Client is a client of the platform. It implements kv.Store and is safe for
// concurrent use.
type Client struct {
	cfg          Config
	endpoints    []string
	instancesURL string
	httpClient   *http.Client
	current      atomic.Uint32 // index of the endpoint that the next call tries first
}

var _ kv.Store = (*Client)(nil)

// New returns a client, and a function that closes its idle connections. It
// returns an error if cfg has no endpoint or an invalid URL. No connection is
// established before the first call.
func New(cfg Config) (*Client, func(), error) {
	if len(cfg.Endpoints) == 0 {
		return nil, nil, errors.New("platform: no endpoint configured")
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
	c.httpClient = &http.Client{Transport: http1.Transport(transport), CheckRedirect: refuseRedirect}
	return c, transport.CloseIdleConnections, nil
}

// baseURL validates a base URL and removes trailing slashes.
func baseURL(s string) (string, error) {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", errors.New("platform: not an http or https URL: " + s)
	}
	return strings.TrimRight(s, "/"), nil
}
