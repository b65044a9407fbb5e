package caller

import (
	"time"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/event"
)

// attemptResultNames are the names of attempt results in logs.
var attemptResultNames = [...]string{
	streamOpen: "standing", finished: "delivered", callerGone: "caller-gone", limitReached: "delivered",
	declined: "declined", streamLost: "broken", endpointDied: "endpoint-died", endpointUnreachable: "unsent", streamMalformed: "malformed",
}

// emit logs an event with the id of the request.
func (a *chatRun) emit(k event.Kind, fields ...event.Field) {
	a.Log.Emit(k, append(fields, event.F("request", a.chat.requestID))...)
}

// logPlacement logs the endpoint of an attempt and what the placement was
// based on.
func (a *chatRun) logPlacement(at *attempt, took time.Duration) {
	fields := []event.Field{
		event.F("attempt", a.evidence.Attempts()+1),
		event.F("endpoint", at.placement.Endpoint),
		event.F("team", a.chat.team),
		event.F("account", a.chat.account),
		event.F("pool", a.chat.plan.Pool),
		event.F("chat", a.chat.id),
		event.F("excluded", len(a.exclude)),
		event.F("place-ms", took.Milliseconds()),
	}
	if !a.chat.deadline.IsZero() {
		fields = append(fields, event.F("left-ms", time.Until(a.chat.deadline).Milliseconds()))
	}
	a.emit(event.ChatPlaced, fields...)
}

// logAttemptEnd logs how an attempt ended.
func (a *chatRun) logAttemptEnd(at *attempt, result attemptResult) {
	a.emit(event.ChatAttempt,
		event.F("attempt", a.evidence.Attempts()),
		event.F("attempt-id", at.id),
		event.F("endpoint", at.placement.Endpoint),
		event.F("ended", attemptResultNames[result]),
		event.F("offset", a.offset),
		event.F("ms", time.Since(at.startedAt).Milliseconds()),
	)
}

// logRefusal logs the refusal of a request.
func (s *Server) logRefusal(request string, r *outcome.Refusal, fields ...event.Field) {
	s.Log.Emit(event.RequestRefused, append(fields,
		event.F("request", request),
		event.F("code", r.Code),
		event.F("why", r.Message),
		event.F("outcome", r.Outcome.String()),
		event.F("status", r.Code.HTTPStatus()),
		event.F("retry-after-ms", r.RetryAfter.Milliseconds()),
	)...)
}
