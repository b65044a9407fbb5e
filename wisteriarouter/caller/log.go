package caller

import (
	"time"

	"wisteriaspool/coordination/outcome"
	"wisteriaspool/wisteriarouter/event"
)

// endNames name the ends of attempts in logs.
var endNames = [...]string{
	standing: "standing", finished: "delivered", callerGone: "caller-gone", limited: "delivered",
	declined: "declined", lost: "broken", died: "endpoint-died", foundDead: "unsent", malformed: "malformed",
}

// emit logs an event of the request.
func (a *answer) emit(k event.Kind, fields ...event.Field) {
	a.Log.Emit(k, append(fields, event.F("request", a.chat.request))...)
}

// placed logs where an attempt is sent and what decided it.
func (a *answer) placed(at *attempt, took time.Duration) {
	fields := []event.Field{
		event.F("attempt", a.evidence.Attempts()+1),
		event.F("endpoint", at.place.Endpoint),
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

// ended logs how an attempt ended.
func (a *answer) ended(at *attempt, how end) {
	a.emit(event.ChatAttempt,
		event.F("attempt", a.evidence.Attempts()),
		event.F("attempt-id", at.id),
		event.F("endpoint", at.place.Endpoint),
		event.F("ended", endNames[how]),
		event.F("offset", a.offset),
		event.F("ms", time.Since(at.begun).Milliseconds()),
	)
}

// logRefusal logs a request's final refusal.
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
