package engine

import (
	"encoding/json"
	"net/http"
	"slices"
)

// orderKinds are the kinds of order that an engine takes.
var orderKinds = []string{"load-model", "load-adapter", "set-version", "set-role"}

// Order tells the engine what to load or to be.
type Order struct {
	Fencing int64  `json:"fencing"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
}

// orderLog holds the highest fencing number and the orders taken.
type orderLog struct {
	Fencing int64   `json:"fencing"`
	Orders  []Order `json:"orders"`
}

// Orders returns the orders taken in this life, the oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.Orders)
}

// handleOrder takes an order, unless its fencing number is old.
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

// handleOrders answers with the orders taken in this life.
func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	accepted := orderLog{Fencing: e.orders.Fencing, Orders: append([]Order{}, e.orders.Orders...)}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, accepted)
}
