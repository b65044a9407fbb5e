package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"wisteriaspool/coordination"
	"wisteriaspool/coordination/kv"
)

// Kind is the kind of a listed instance.
type Kind string

// Kinds of instances.
const (
	Engine       Kind = "engine"
	PlainService Kind = "service"
	Router       Kind = "router"
)

// State tells whether a listed instance accepts new work.
type State string

// States of instances. Any other state must be treated as Leaving.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Entry is one instance in the platform's list. The list may be out of date.
type Entry struct {
	ID          coordination.Endpoint    `json:"id"`
	Address     string                   `json:"address"` // host:port
	Zone        coordination.Zone        `json:"zone"`
	Kind        Kind                     `json:"kind"`
	Pool        coordination.Pool        `json:"pool"`
	State       State                    `json:"state"`
	Incarnation coordination.Incarnation `json:"incarnation"`
	Capacity    int                      `json:"capacity"` // concurrent requests; zero if unknown
	ColdFor     time.Duration            `json:"-"`        // how much longer the endpoint stays cold, if the source tells
	// Version is the version of the endpoint's software, if the source tells.
	Version coordination.SoftwareVersion `json:"-"`
	// Sequence rises with the entries that one incarnation writes, if the source tells.
	Sequence int64 `json:"-"`
}

type instanceList struct {
	Instances []Entry `json:"instances"`
}

const instancesPath = "/v1/instances"

// Instances reads the list of instances. It omits entries without an id or an
// address, which cannot be reached.
func (c *Client) Instances(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	start := time.Now()
	list, err := c.readInstances(ctx)
	if err != nil {
		c.observe(OpInstances, kv.Unavailable, start)
		return nil, fmt.Errorf("platform: reading list of instances: %w", err)
	}
	c.observe(OpInstances, kv.Applied, start)
	entries := make([]Entry, 0, len(list.Instances))
	for _, e := range list.Instances {
		if e.ID != "" && e.Address != "" {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

func (c *Client) readInstances(ctx context.Context) (instanceList, error) {
	var list instanceList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.instancesURL+instancesPath, nil)
	if err != nil {
		return list, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return list, err
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&list)
	return list, err
}
