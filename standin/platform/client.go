package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

// Client keeps an entry of the list of instances, as a stand-in engine or
// service does for itself.
type Client struct {
	URL  string       // of the platform, without a trailing slash
	HTTP *http.Client // nil means http.DefaultClient
}

// Register adds or replaces an entry.
func (c Client) Register(ctx context.Context, entry Instance) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return c.do(ctx, http.MethodPost, "/admin/instances", body)
}

// Remove takes an entry off the list.
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
