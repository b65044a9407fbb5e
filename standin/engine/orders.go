package engine

import (
	"encoding/json"
	"net/http"
	"slices"
)

// orderKinds lists the kinds of order that an engine accepts.
var orderKinds = []string{"load-model", "load-adapter", "set-version", "set-role"}

// Order instructs the engine to load a model or adapter, or to change its version
// or role. Fencing is the fencing token of the sender.
type Order struct {
	Fencing int64  `json:"fencing"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
}

// orderLog holds the highest fencing token seen and the accepted orders.
type orderLog struct {
	Fencing int64   `json:"fencing"`
	Orders  []Order `json:"orders"`
}

// Orders returns the orders accepted in this incarnation, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.Orders)
}

// handleOrder accepts an order unless its fencing token is outdated.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	if !slices.Contains(orderKinds, order.Kind) {
		writeError(w, http.StatusBadRequest, "malformed", "unknown kind of order")
		return
	}
	if !e.acceptOrder(order) {
		writeError(w, http.StatusConflict, "conflict", "an order with a higher fencing number came before")
		return
	}
	writeJSON(w, http.StatusOK, order)
}

// acceptOrder records an order. It reports false if an order with a higher fencing
// token was accepted before and Options.IgnoreFencing is not set.
func (e *Engine) acceptOrder(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing < e.orders.Fencing && !e.opts.IgnoreFencing {
		return false
	}
	e.orders.Fencing = max(e.orders.Fencing, order.Fencing)
	e.orders.Orders = append(e.orders.Orders, order)
	return true
}

// handleOrders responds with the orders accepted in this incarnation.
func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	accepted := orderLog{Fencing: e.orders.Fencing, Orders: append([]Order{}, e.orders.Orders...)}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, accepted)
}
