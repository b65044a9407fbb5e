package event

import "github.com/sirupsen/logrus"

// The events of a router's life.
var (
	Started        = Kind{100, "started", logrus.InfoLevel, "The router serves. Nothing to do."}
	Ready          = Kind{101, "ready", logrus.InfoLevel, "The router has settings and endpoints and takes requests."}
	Stopping       = Kind{102, "stopping", logrus.InfoLevel, "A graceful shutdown began: no new requests, those in flight finish."}
	Stopped        = Kind{103, "stopped", logrus.InfoLevel, "The shutdown is complete; in-flight tells how many requests were left, which is 0 unless the stop limit passed."}
	Failed         = Kind{104, "failed", logrus.ErrorLevel, "The router could not start or go on. The error tells why."}
	Reloaded       = Kind{105, "reloaded", logrus.InfoLevel, "The settings file was read again and is in force, but for addresses and names, which need a restart."}
	LinesDropped   = Kind{107, "lines-dropped", logrus.WarnLevel, "Lines of a kind were not logged, since there were too many in a second; the count tells how many. The metrics still count what they would have told."}
	RequestDropped = Kind{108, "request-dropped", logrus.WarnLevel, "A connection ended though a part of a request, or all of it, had been read and nobody answers it; tells how many bytes, since when, whether it was the first request on its connection, whether the other side had gone, and whether the router was closing connections. If it had not gone, its request is lost."}
	ReloadFailed   = Kind{106, "reload-failed", logrus.ErrorLevel, "The settings file was to be read again and cannot be; the settings before stay in force. The problems name the lines."}
)

// The events of settings.
var (
	SettingsApplied  = Kind{200, "settings-applied", logrus.InfoLevel, "A team's settings revision, or a version of the desired state, is in force on this router. Of a desired state it tells who told of it (the store or a router), how long before the store had told the first router (behind-ms), and how long nobody had heard from the store (unconfirmed-ms)."}
	SettingsInvalid  = Kind{201, "settings-invalid", logrus.WarnLevel, "The platform holds a value that this router refuses; the last good one stays in force. Put a valid change on top."}
	SettingsRejected = Kind{202, "settings-rejected", logrus.WarnLevel, "An operator's change was refused; the outcome tells whether it conflicted, was invalid or could not be written."}
	SettingsChanged  = Kind{203, "settings-changed", logrus.InfoLevel, "An operator's change was accepted through this router."}
	SettingsLate     = Kind{205, "settings-late", logrus.WarnLevel, "A version of the desired state came into force more than half a second behind the first router; tells whom this router asked last, how many milliseconds it was kept waiting there, and what came of it. Look whether those routers had lost the store (300)."}
)

// The events of the platform's service.
var (
	PlatformLost = Kind{300, "platform-lost", logrus.WarnLevel, "Calls to the platform's service fail. Chats go on with the last settings; non-idempotent actions are refused. See the platform's own alarms."}
	PlatformBack = Kind{301, "platform-back", logrus.InfoLevel, "Calls to the platform's service succeed again."}
)

// The events of peers.
var (
	PeerConnected    = Kind{400, "peer-connected", logrus.DebugLevel, "A connection to another router stands."}
	PeerDisconnected = Kind{401, "peer-disconnected", logrus.DebugLevel, "A connection to another router ended."}
	PeerMalformed    = Kind{402, "peer-malformed", logrus.WarnLevel, "A peer sent a malformed message; its connection was closed. Look for a router of a wrong version or a foreign client on the peer port."}
	PeerRefused      = Kind{403, "peer-refused", logrus.WarnLevel, "A connection was refused at hello, for its fleet name or its version."}
	MemberChanged    = Kind{404, "member-changed", logrus.InfoLevel, "A router joined, left, or is taken for dead."}
	RumourShed       = Kind{405, "rumour-shed", logrus.WarnLevel, "Soft state was dropped to stay under the byte budget. If it goes on, raise the budget or look for flapping instances."}
	PeerBusy         = Kind{406, "peer-busy", logrus.WarnLevel, "More calls of other routers came at once than this one handles; some were turned away. If it goes on, the instance is too small or a peer repeats itself."}
	PeerAway         = Kind{407, "peer-away", logrus.WarnLevel, "A router leaves calls without an answer; this one does without it until it answers again. If it goes on and the router is not declared dead, look at the path between the two."}
	PeerBack         = Kind{408, "peer-back", logrus.InfoLevel, "A router that was away answers again."}
	HintFailed       = Kind{409, "hint-failed", logrus.InfoLevel, "A router could not be told of a change of the store, or what it had told of could not be fetched from it. Others have told of it too; look whether that router is away."}
)

// The events of chats and endpoints.
var (
	EndpointLeaving   = Kind{500, "endpoint-leaving", logrus.InfoLevel, "An endpoint announced its stop and gets no new work."}
	EndpointLost      = Kind{501, "endpoint-lost", logrus.WarnLevel, "An endpoint died or was restarted while it ran requests."}
	StreamResumed     = Kind{502, "stream-resumed", logrus.InfoLevel, "A stream that broke was resumed on the same endpoint."}
	StreamContinued   = Kind{503, "stream-continued", logrus.InfoLevel, "A stream whose endpoint was lost goes on elsewhere."}
	StreamMalformed   = Kind{504, "stream-malformed", logrus.ErrorLevel, "An endpoint sent a chunk that cannot be read; the attempt was cancelled."}
	CancelFailed      = Kind{505, "cancel-failed", logrus.WarnLevel, "An attempt nobody reads could not be cancelled; it ends when the endpoint's own limit passes."}
	EndpointHeld      = Kind{512, "endpoint-held", logrus.InfoLevel, "An endpoint's entry was removed while the store was away or with very many others; the endpoint stays for a while in case the entry comes back."}
	EndpointMalformed = Kind{513, "endpoint-malformed", logrus.WarnLevel, "An entry in the store cannot be used and names no endpoint; the error tells why. Look for another writer."}
	RequestRefused    = Kind{506, "request-refused", logrus.WarnLevel, "A request got a final refusal; tells the code, why, whether it has run, and when the caller was told to come back."}
	RequestSuspected  = Kind{507, "request-suspected", logrus.WarnLevel, "A request ran on an endpoint that died."}
	RequestConvicted  = Kind{508, "request-convicted", logrus.ErrorLevel, "A request's second endpoint died. The fleet refuses it from now on; look at its fingerprint's caller."}
	RetryBudgetSpent  = Kind{509, "retry-budget-spent", logrus.WarnLevel, "A request was not retried because the share of retries is spent. Look for endpoints that fail."}
	CallerGone        = Kind{511, "caller-gone", logrus.InfoLevel, "A caller went away; its attempt was cancelled."}
	ChatPlaced        = Kind{514, "chat-placed", logrus.InfoLevel, "A chat got a place at an endpoint and is sent there; tells how long the place took and how much of the time to the start is left. Nothing to do."}
	ChatAttempt       = Kind{515, "chat-attempt", logrus.InfoLevel, "An attempt of a chat has ended; tells how, after how long, and how many tokens the caller has by then. Look at the endpoint if attempts are lost there more than elsewhere."}
	EndpointOutlier   = Kind{516, "endpoint-outlier", logrus.WarnLevel, "An endpoint that this router counts gets no requests of an availability zone's routers, or gets them again, by what requests showed of it; tells the sum of the evidence and the pause before it is probed. Look at the endpoint: its own health check may be good."}
)

// The events of actions.
var (
	ActionUnknown    = Kind{600, "action-unknown", logrus.WarnLevel, "An action may or may not have run. Its record stands; check at the service with the key."}
	ActionRefused    = Kind{601, "action-refused", logrus.DebugLevel, "A non-idempotent action was refused and did not run."}
	ActionUnfinished = Kind{602, "action-unfinished", logrus.WarnLevel, "An action ran but its record could not be closed yet; the router keeps trying."}
	RecordLost       = Kind{603, "record-lost", logrus.ErrorLevel, "A record that this router held is gone or is another's: the platform lost it. Its key may run again; check at the service."}
	RecordUnsettled  = Kind{604, "record-unsettled", logrus.WarnLevel, "A record was never closed. Its key stays in progress until it expires."}
)

// The events of orders to engines.
var (
	OrderGiven = Kind{700, "order-given", logrus.InfoLevel, "An engine was told to load something; the result tells whether it took the order. If many are fenced, two routers hold the pool: see the platform's leases under /wisteriaspool/orders/."}
)

// The events of relayed requests. Each names the request, and with its route
// the version of the desired state by which it was decided.
var (
	RelayAttempt     = Kind{800, "relay-attempt", logrus.InfoLevel, "A request was sent to an endpoint; tells which, for which key, whether the cache of another endpoint was fetched, how it ended and when. Nothing to do."}
	RelayAttemptLost = Kind{801, "relay-attempt-lost", logrus.WarnLevel, "An attempt got no usable answer; the error tells how far it had come. Look at the endpoint if it happens there more than elsewhere."}
	RelayRefused     = Kind{802, "relay-refused", logrus.WarnLevel, "The router answered in its own name; tells the status, why, and when the caller was told to come back."}
	RelayCut         = Kind{803, "relay-cut", logrus.WarnLevel, "An answer was broken off after the caller had got a part of it."}
	RelayCallerGone  = Kind{804, "relay-caller-gone", logrus.InfoLevel, "The caller went away before its answer was complete; the endpoint was told to stop."}
	RelayBudgetSpent = Kind{805, "relay-budget-spent", logrus.WarnLevel, "A request was not sent again because the pool's share of retries is spent. Look for endpoints that fail."}
	RelayPlaced      = Kind{806, "relay-placed", logrus.InfoLevel, "A request got a place at an endpoint and is sent there; tells for which key, the endpoint's rank among those of the key, how long the place took, and how old what the router knows of the store is. Nothing to do."}
	RelayOverdue     = Kind{807, "relay-overdue", logrus.InfoLevel, "An endpoint has sent no byte of an answer for longer than others take; tells after how long, and whether the request may go on elsewhere. Look at the endpoint if it happens there more than elsewhere."}
)

// Catalogue lists every kind, in order of number.
func Catalogue() []Kind {
	return []Kind{
		Started, Ready, Stopping, Stopped, Failed, Reloaded, ReloadFailed, LinesDropped, RequestDropped,
		SettingsApplied, SettingsInvalid, SettingsRejected, SettingsChanged, SettingsLate,
		PlatformLost, PlatformBack,
		PeerConnected, PeerDisconnected, PeerMalformed, PeerRefused, MemberChanged, RumourShed, PeerBusy, PeerAway, PeerBack, HintFailed,
		EndpointLeaving, EndpointLost, StreamResumed, StreamContinued, StreamMalformed, CancelFailed,
		RequestRefused, RequestSuspected, RequestConvicted, RetryBudgetSpent, CallerGone, EndpointHeld, EndpointMalformed, ChatPlaced, ChatAttempt, EndpointOutlier,
		ActionUnknown, ActionRefused, ActionUnfinished, RecordLost, RecordUnsettled,
		OrderGiven,
		RelayAttempt, RelayAttemptLost, RelayRefused, RelayCut, RelayCallerGone, RelayBudgetSpent, RelayPlaced, RelayOverdue,
	}
}
