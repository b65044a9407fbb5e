package relay

// Metrics counts what becomes of requests.
type Metrics struct{}
