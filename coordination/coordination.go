// Package coordination defines the identifiers shared by the components that
// coordinate a fleet of routers. Its subpackages hold the decision logic; they
// do no I/O, so that they can be embedded, tested and benchmarked directly.
package coordination

// Instance identifies one router process for as long as it keeps its address.
type Instance string

// Incarnation orders the restarts of one instance or endpoint: each restart has
// a higher one. It is the wall-clock time of the start in milliseconds.
type Incarnation uint64

// Zone names an availability zone.
type Zone string

// Region names a region, which contains several availability zones.
type Region string

// Account names a client account, the unit of fair sharing and billing.
type Account string

// Team names a team of operators, which owns one subtree of settings.
type Team string

// Endpoint identifies a back end: a model engine or a plain service.
type Endpoint string

// Pool names a set of interchangeable endpoints: model@version, or the name of
// a plain service.
type Pool string

// SoftwareVersion names the version of the software of a pool's endpoints. Endpoints of
// several versions may serve in one pool, in no order.
type SoftwareVersion string

// Model names a model without its version.
type Model string

// Service names a plain service.
type Service string

// Action names one operation of a plain service.
type Action string

// Chat identifies a conversation that may continue with further requests.
type Chat string

// Attempt identifies one attempt to run a request at one endpoint. Its value
// cannot be guessed.
type Attempt string

// Tokens is a number of model tokens.
type Tokens int

// Priority ranks requests; higher ones are served first. Zero is the default.
type Priority int

// PoolOf returns the pool that serves a version of a model, or the model
// without a version if version is empty.
func PoolOf(model Model, version string) Pool {
	if version == "" {
		return Pool(model)
	}
	return Pool(string(model) + "@" + version)
}
