// Package coordination names the things that a fleet of routers has to
// coordinate. Its subpackages hold the decisions themselves: they do no I/O,
// so that they can be embedded, tested and measured directly.
package coordination

// Instance identifies one router process for as long as its address lasts.
type Instance string

// Incarnation orders the lives of one instance or endpoint: a restart has a
// higher one. Its source is the wall clock in milliseconds at start.
type Incarnation uint64

// Zone names an availability zone.
type Zone string

// Account names a client account, the unit of fairness and of billing.
type Account string

// Team names a team of operators, who own one subtree of settings.
type Team string

// Endpoint identifies a back end: a model engine or a plain service.
type Endpoint string

// Pool names a set of interchangeable endpoints, as model@version or as the
// name of a plain service.
type Pool string

// Model names a model without its version.
type Model string

// Service names a plain service.
type Service string

// Action names one call of a plain service.
type Action string

// Chat identifies a conversation that may return.
type Chat string

// Attempt identifies one try of a request at one endpoint. It is unguessable.
type Attempt string

// Tokens counts tokens of a model.
type Tokens int

// Priority ranks requests; a higher one goes first. Zero is the default.
type Priority int

// PoolOf returns the pool that serves version of model.
func PoolOf(model Model, version string) Pool {
	if version == "" {
		return Pool(model)
	}
	return Pool(string(model) + "@" + version)
}
