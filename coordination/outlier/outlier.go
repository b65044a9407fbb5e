// Package outlier detects endpoints that fail requests, or never answer them,
// while the other endpoints of their pool serve the same requests well and the
// endpoint's own health check passes.
//
// Each router monitors the requests that it sends ([Monitor]). It knows how
// often each kind of request fails at the other endpoints of the pool and how
// soon they answer, and derives from that how much evidence a single failure
// is. A kind of request that fails everywhere is no evidence against an
// endpoint, nor is a simultaneous failure of all endpoints. The evidence from
// each request is sent as a [Weight] to the router that accounts for the
// endpoint's load. That router sums up the weights from all routers
// ([Detector]), ejects the endpoint for new requests and restores it after a
// few successful probes.
//
// The package does no I/O.
package outlier

import (
	"math"
	"time"
)

// Weight is the evidence that one request gives about its endpoint: the natural
// logarithm of the likelihood ratio of a failing to a good endpoint, in
// hundredths. Zero is no evidence; negative values are evidence for a good
// endpoint.
type Weight int16

// SuccessWeight is the weight of a successful request. A failing endpoint is
// assumed to fail every second request that a good one serves, so that each
// success halves the odds.
const SuccessWeight Weight = -69

// EjectThreshold is the sum of weights at which an endpoint is ejected. It is
// then four hundred times likelier to be failing than to be as good as the
// others. The sum is reached by two failures of a kind that seldom fails, after
// a successful request, or by five failures of a kind of which 14 in 100 fail
// anyway.
const EjectThreshold Weight = 600

// DoubtThreshold is the sum of weights at which an endpoint gets no more
// requests whose failure cannot be repaired by a retry. One failure of a kind
// that seldom fails reaches it: sending such requests to other endpoints of the
// pool costs nothing.
const DoubtThreshold Weight = 300

// minFailureRate is the lowest failure rate that is assumed for a good
// endpoint. With a lower one, a single failure would eject an endpoint.
const minFailureRate = 0.01

// failureWeight returns the weight of a failure of a kind of request that fails
// at good endpoints at the given rate.
func failureWeight(rate float64) Weight {
	rate = min(max(rate, minFailureRate), 1)
	return Weight(100 * math.Log((1+rate)/(2*rate)))
}

// decayFactor returns the share of a quantity that remains after age, given its
// half-life.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
