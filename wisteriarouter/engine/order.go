package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"wisteriaspool/coordination/order"
)

// orderBody is the JSON body of an order.
type orderBody struct {
	Fencing order.FencingToken `json:"fencing"`
	order.Order
}

// Order sends an order to an engine. It implements order.EngineClient.
func (c *Client) Order(ctx context.Context, t order.Target, o order.Order, f order.FencingToken) order.Result {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	data, err := json.Marshal(orderBody{Fencing: f, Order: o})
	if err != nil {
		return order.Declined
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		return order.Declined
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return order.Unknown
	}
	defer res.Body.Close()
	switch {
	case res.StatusCode == http.StatusOK:
		return order.Taken
	case res.StatusCode == http.StatusConflict:
		return order.Fenced
	case res.StatusCode < http.StatusInternalServerError:
		return order.Declined
	default:
		return order.Unknown
	}
}
