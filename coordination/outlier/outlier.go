// Package outlier finds the endpoints that fail requests, or never answer them,
// while the others of their pool serve the same requests well, and while the
// endpoint's own word says that it is healthy.
//
// Each router watches the requests that it sends ([Monitor]). It knows how often
// each kind of request fails at the pool's other endpoints, and how soon they
// answer, and so what one failure says: a kind that fails everywhere says
// nothing of an endpoint, nor does a failure of all endpoints at once. What a
// request showed goes as a [Weight] to the router that counts the endpoint's
// load, which adds up the weights of all routers ([Detector]) and takes the
// endpoint out for new requests, or back after a few probes.
//
// The package does no I/O.
package outlier

import (
	"math"
	"time"
)

// Weight is what one request says of its endpoint, in hundredths of the natural
// logarithm of how much likelier it is at a failing endpoint than at a good one.
// Zero says nothing; below zero speaks for the endpoint.
type Weight int16

// SuccessWeight is the weight of a request that was served. An endpoint that fails is
// taken to fail, of the requests that a good one serves, every second one, so
// that each served request halves the odds.
const SuccessWeight Weight = -69

// EjectThreshold is the sum of weights at which an endpoint is taken out: it is then
// four hundred times likelier that it fails than that it is as good as the others.
// Two failures of a kind that seldom fails say so, behind a request that was
// served, or five of one of which 14 in 100 fail anyway.
const EjectThreshold Weight = 600

// DoubtThreshold is the sum of weights at which an endpoint gets no more requests of
// which a failure cannot be mended. One failure of a kind that seldom fails
// raises it: other endpoints of the pool cost such a request nothing.
const DoubtThreshold Weight = 300

// minFailureRate is the lowest share of failures that is taken for a good endpoint's.
// Lower ones would eject by a single failure.
const minFailureRate = 0.01

// failureWeight returns what a failure says if a share of such requests fails at good
// endpoints anyway.
func failureWeight(rate float64) Weight {
	rate = min(max(rate, minFailureRate), 1)
	return Weight(100 * math.Log((1+rate)/(2*rate)))
}

// decayFactor returns what is left of a quantity that halves in every half-life.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
