package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

// Client registers and removes entries of the instance list. The stand-in
// engine and service use it for their own entries.
type Client struct {
	URL  string       // base URL of the platform, without a trailing slash
	HTTP *http.Client // nil means http.DefaultClient
}

// Register adds entry to the list or replaces the entry with the same ID. It
// returns an error if the request fails or its status is not 2xx.
func (c Client) Register(ctx context.Context, entry Instance) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return c.do(ctx, http.MethodPost, "/admin/instances", body)
}

// Remove deletes the entry with the given ID from the list. It returns an error
// if the request fails or its status is not 2xx.
func (c Client) Remove(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, "/admin/instances/"+url.PathEscape(id), nil)
}

func (c Client) do(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("platform: %s %s: %s", method, path, res.Status)
	}
	return nil
}
