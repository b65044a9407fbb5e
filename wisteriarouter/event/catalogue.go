package event

import "github.com/sirupsen/logrus"

// Events of the router process.
var (
	Started        = Kind{100, "started", logrus.InfoLevel, "The router has started. No action needed."}
	Ready          = Kind{101, "ready", logrus.InfoLevel, "The router has settings and endpoints and accepts requests; gives how many requests it knows to crash endpoints, and how many are suspected of it."}
	Stopping       = Kind{102, "stopping", logrus.InfoLevel, "A graceful shutdown has begun: new requests are refused, those in flight finish."}
	Stopped        = Kind{103, "stopped", logrus.InfoLevel, "The shutdown is complete; in-flight is the number of unfinished requests, which is 0 unless the stop limit was exceeded."}
	Failed         = Kind{104, "failed", logrus.ErrorLevel, "The router could not start or continue; the error gives the reason."}
	Reloaded       = Kind{105, "reloaded", logrus.InfoLevel, "The settings file was reloaded and is in force, except for addresses and names, which need a restart."}
	LinesDropped   = Kind{107, "lines-dropped", logrus.WarnLevel, "Lines of a kind were not logged because there were too many within a second; count is their number. The metrics still include their events."}
	RequestDropped = Kind{108, "request-dropped", logrus.WarnLevel, "A connection ended after a part of a request, or all of it, had been read and without a response; gives the number of bytes, since when, whether it was the first request on its connection, whether the peer had disconnected, and whether the router was closing connections. If the peer had not disconnected, its request is lost."}
	ReloadFailed   = Kind{106, "reload-failed", logrus.ErrorLevel, "The settings file could not be reloaded; the previous settings stay in force. The problems name the lines."}
)

// Events of settings.
var (
	SettingsApplied  = Kind{200, "settings-applied", logrus.InfoLevel, "A team's settings revision, or a version of the desired state, is in force on this router. For a desired state it gives the source (the store or a router), how long ago the first router received it from the store (behind-ms), and for how long no router had received anything from the store (unconfirmed-ms); keys-in-use tells whether it or an earlier one had client accounts, as far as this router knows."}
	SettingsInvalid  = Kind{201, "settings-invalid", logrus.WarnLevel, "The platform holds a value that this router rejects; the last valid one stays in force. Write a valid change."}
	SettingsRejected = Kind{202, "settings-rejected", logrus.WarnLevel, "An operator's change was rejected; the outcome says whether it conflicted, was invalid or could not be written."}
	SettingsChanged  = Kind{203, "settings-changed", logrus.InfoLevel, "An operator's change was accepted through this router."}
	SettingsLate     = Kind{205, "settings-late", logrus.WarnLevel, "A version of the desired state came into force more than half a second later than on the first router; gives the router that this one asked last, how many milliseconds it waited for it, and the result. Check whether those routers had lost the store (300)."}
)

// Events of the platform's service.
var (
	PlatformLost  = Kind{300, "platform-lost", logrus.WarnLevel, "Calls to the platform's service fail. Chats continue with the last settings; non-idempotent actions are refused. See the platform's own alarms."}
	PlatformBack  = Kind{301, "platform-back", logrus.InfoLevel, "Calls to the platform's service succeed again."}
	WatchOverdue  = Kind{302, "watch-overdue", logrus.WarnLevel, "A watch still waited although the platform's service had a later revision; gives both revisions and how long the watch had waited. Changes reach routers late meanwhile. If this continues, see the platform's own alarms."}
	StoreRestored = Kind{303, "store-restored", logrus.WarnLevel, "The platform's store has been restored from a copy: what was written since then is lost until its writers have written it again. Gives the era and revision before and after, and how many keys differ or are gone. Routers keep what they know to be later. Compare with the desired state that was meant to be in force."}
	CallRejected  = Kind{306, "call-rejected", logrus.ErrorLevel, "A peer finds calls of a kind wrong, so that repeating them does not help: this router and the peer do not agree on the protocol. The peer is the platform or, for kinds named router TOPIC, another router that is ready. Gives the kind, how many calls were rejected, failed and succeeded, and for how long none has succeeded. Logged at the first rejection, then once a minute at most. What these calls are for does not happen; go back to the version before if it began with a release, and report it."}
	CallsFailing  = Kind{307, "calls-failing", logrus.ErrorLevel, "No call of a kind has succeeded for half a minute, or ever, although calls were made; gives the same and the last status. Logged once a minute at most. If other kinds of calls to the same peer succeed, the fault is likely in this one; otherwise see the peer's own alarms (300). Of calls to routers those count that one does not answer although it answers others at the time."}
)

// Events of peers.
var (
	PeerConnected    = Kind{400, "peer-connected", logrus.DebugLevel, "A connection to another router was established."}
	PeerDisconnected = Kind{401, "peer-disconnected", logrus.DebugLevel, "A connection to another router ended."}
	PeerMalformed    = Kind{402, "peer-malformed", logrus.WarnLevel, "A peer sent a malformed message; its connection was closed. Look for a router of a wrong version or another client on the peer port."}
	PeerRefused      = Kind{403, "peer-refused", logrus.WarnLevel, "A connection was refused during the handshake because of its fleet name or its version."}
	MemberChanged    = Kind{404, "member-changed", logrus.InfoLevel, "A router joined, left, or was declared dead."}
	RumorShed        = Kind{405, "rumour-shed", logrus.WarnLevel, "Soft state was dropped to stay within the byte budget. If this continues, raise the budget or look for flapping instances."}
	PeerBusy         = Kind{406, "peer-busy", logrus.WarnLevel, "Other routers made more concurrent calls than this router handles; some were refused. If this continues, the instance is too small or a peer repeats its calls."}
	PeerAway         = Kind{407, "peer-away", logrus.WarnLevel, "A router does not answer calls; this one does not use it until it answers again. If this continues and the router is not declared dead, check the network path between the two."}
	PeerBack         = Kind{408, "peer-back", logrus.InfoLevel, "A router that did not answer calls answers again."}
	CatchUpFailed    = Kind{410, "catch-up-failed", logrus.WarnLevel, "No router that had run for longer told this one, as it started, which requests crash endpoints; it serves with what the platform's store says of them. Expected if all routers have been replaced at once; otherwise check the network path to the other routers."}
	HintFailed       = Kind{409, "hint-failed", logrus.InfoLevel, "A router could not be notified of a change of the store, or a change that it announced could not be fetched from it. Other routers announce the change as well; check whether that router is reachable."}
)

// Events of chats and endpoints.
var (
	EndpointLeaving     = Kind{500, "endpoint-leaving", logrus.InfoLevel, "An endpoint announced its shutdown and gets no new requests."}
	EndpointLost        = Kind{501, "endpoint-lost", logrus.WarnLevel, "An endpoint died or restarted while it was running requests."}
	StreamResumed       = Kind{502, "stream-resumed", logrus.InfoLevel, "An interrupted stream was resumed on the same endpoint."}
	StreamContinued     = Kind{503, "stream-continued", logrus.InfoLevel, "A stream whose endpoint was lost continues on another endpoint."}
	StreamMalformed     = Kind{504, "stream-malformed", logrus.ErrorLevel, "An endpoint sent a chunk that cannot be decoded; the attempt was cancelled."}
	CancelFailed        = Kind{505, "cancel-failed", logrus.WarnLevel, "An attempt whose answer is no longer needed could not be cancelled; it ends at the endpoint's own limit."}
	EndpointHeld        = Kind{512, "endpoint-held", logrus.InfoLevel, "An endpoint's entry was removed shortly after an outage of the store or together with many others; the endpoint is kept for a while in case the entry comes back."}
	EndpointMalformed   = Kind{513, "endpoint-malformed", logrus.WarnLevel, "An entry in the store is invalid and was ignored; the error gives the reason. Look for another writer."}
	RequestRefused      = Kind{506, "request-refused", logrus.WarnLevel, "A request was finally refused; gives the code, the reason, whether it has run, and after what time the caller was told to retry."}
	RequestSuspected    = Kind{507, "request-suspected", logrus.WarnLevel, "A request ran on an endpoint that died."}
	RequestConvicted    = Kind{508, "request-convicted", logrus.ErrorLevel, "A second endpoint died while it ran the same request. All routers refuse the request from now on; check the caller with its fingerprint."}
	ConvictionStored    = Kind{520, "conviction-stored", logrus.InfoLevel, "A request, or a part of prompts, that crashes endpoints was written to the platform's store, so that routers which start later refuse it, or removed from it since it was cleared; the status is conflict if another router had done so. No action needed."}
	ConvictionNotStored = Kind{522, "conviction-not-stored", logrus.WarnLevel, "A request, or a part of prompts, that crashes endpoints could not be written to the platform's store, or not removed from it; the router tries again about once a second. If all routers are restarted before, its next copies crash endpoints again. See the platform's own alarms."}
	RecordsMissed       = Kind{521, "records-missed", logrus.InfoLevel, "A comparison with a neighbor gave this router records of crashing requests that no rumor had brought in time. If this continues, look for dropped rumors (405)."}
	RetryBudgetSpent    = Kind{509, "retry-budget-spent", logrus.WarnLevel, "A request was not retried because the retry budget is exhausted. Look for failing endpoints."}
	CallerGone          = Kind{511, "caller-gone", logrus.InfoLevel, "A caller disconnected; its attempt was cancelled."}
	ChatPlaced          = Kind{514, "chat-placed", logrus.InfoLevel, "A chat was placed on an endpoint and is sent there; gives the duration of the placement and the time left until the start deadline. No action needed."}
	ChatAttempt         = Kind{515, "chat-attempt", logrus.InfoLevel, "An attempt of a chat has ended; gives the result, the duration, and the number of tokens delivered to the caller so far. Check the endpoint if attempts are lost there more often than elsewhere."}
	ZoneEvacuated       = Kind{517, "zone-evacuated", logrus.WarnLevel, "An operator evacuated an availability zone: its endpoints get no new requests from this router. Those that run there go on."}
	ZoneRestored        = Kind{518, "zone-restored", logrus.InfoLevel, "The evacuation of an availability zone has ended. Its endpoints get requests again, at the rate that cold ones tolerate."}
	EndpointOutlier     = Kind{516, "endpoint-outlier", logrus.WarnLevel, "Based on the results of requests, the routers of an availability zone stopped or resumed sending requests to an endpoint that this router counts; gives the sum of the evidence and the pause before the endpoint is probed. Check the endpoint: its own health check may still pass."}
	MixedVersions       = Kind{523, "mixed-versions", logrus.InfoLevel, "Endpoints of a pool have several versions of their software; this was written to the platform's store, so that routers which start later know that streams may have begun at any of them. The status is conflict if another router had written it. Gives the error if it could not be written; the router tries again."}
	PartConvicted       = Kind{524, "part-convicted", logrus.ErrorLevel, "Endpoints ended under requests with one part in their prompts, and none of these has completed. All routers refuse requests with the part, but for a few trials; gives the part, the pool, how many endpoints ended and how often it was tried. See wisteriactl suspects."}
	PartExempt          = Kind{525, "part-exempt", logrus.ErrorLevel, "As 524, but so many parts are refused that the cause is probably another one: requests with this part are not refused, and run one at a time. Look at the endpoints of the pool."}
	PartCleared         = Kind{526, "part-cleared", logrus.WarnLevel, "Requests with a part that was refused, or exempt, are served again: one has completed, or an operator has cleared the part."}
	SuspectCleared      = Kind{527, "suspect-cleared", logrus.WarnLevel, "An operator cleared a request or a part of prompts under which endpoints have ended; gives who did and why."}
	EndpointNotReturned = Kind{528, "endpoint-not-returned", logrus.InfoLevel, "A restored store has an entry of an endpoint again that had been removed; the endpoint gets no requests until it writes a later entry, or until the entry has stayed for some seconds."}
	VersionsRecorded    = Kind{530, "versions-recorded", logrus.InfoLevel, "The versions of the software of pools were written to the platform's store, so that routers which start later notice a change that no router has seen. The status is conflict if another router had written them. Gives the error if they could not be written; the router tries again."}
	StreamsNotWritten   = Kind{531, "streams-not-written", logrus.WarnLevel, "The versions of the software at which streams began could not be written to the platform's store; the router tries again. If all routers are restarted before, these streams are refused when their callers take them up. See the platform's own alarms."}
	StreamsLoaded       = Kind{532, "streams-loaded", logrus.InfoLevel, "As it started, or as no router knew a stream, this router read from the platform's store at which versions of the software streams began; gives their number and the status. If it could not, it refuses streams that no router knows meanwhile."}
	StreamsMalformed    = Kind{534, "streams-malformed", logrus.WarnLevel, "A batch of streams in the platform's store cannot be decoded; gives its key, its revision and the reason. Its streams are refused when their callers take them up, unless a router knows them. Look for another writer, or for a router of another version."}
	EndpointEarlier     = Kind{533, "endpoint-earlier", logrus.WarnLevel, "An endpoint's entry has stayed although it is of an earlier incarnation than was known; it holds now, and what was known of the later one is forgotten. Look for another writer."}
	KeysRecorded        = Kind{535, "keys-recorded", logrus.InfoLevel, "It was written to the platform's store that the desired state has, or had, client accounts, so that routers which start later never pass on the Authorization header of callers, also if it has none any more. The status is conflict if another router had written it. Gives the error if it could not be written; the router tries again."}
	EndpointCapacity    = Kind{529, "endpoint-capacity", logrus.InfoLevel, "The measured speed of an endpoint that this router counts has moved away from the mean of its pool, or back to it, or the number of concurrent requests that it handles well has changed; gives its pace and the pool's mean in percent, that limit, and the slots. At most one line a second for each endpoint. If one endpoint stays slow, check its machine."}
	EndpointDetour      = Kind{519, "endpoint-detour", logrus.WarnLevel, "This router cannot connect to an endpoint, or not as fast as another router that has connected for it; requests go through other routers for some seconds. If this names many endpoints, check the links of this router."}
)

// Events of actions.
var (
	ActionUnknown    = Kind{600, "action-unknown", logrus.WarnLevel, "An action may or may not have run. Its record is kept; check with the service, using the key."}
	ActionRefused    = Kind{601, "action-refused", logrus.DebugLevel, "A non-idempotent action was refused and did not run."}
	ActionUnfinished = Kind{602, "action-unfinished", logrus.WarnLevel, "An action ran, but its record could not be closed yet; the router keeps retrying."}
	RecordLost       = Kind{603, "record-lost", logrus.ErrorLevel, "A record that this router held no longer exists or belongs to another router: the platform lost it. An action with its key may run again; check with the service."}
	RecordUnsettled  = Kind{604, "record-unsettled", logrus.WarnLevel, "A record was not closed. Its key remains in progress until it expires."}
)

// Events of orders to engines.
var (
	OrderGiven = Kind{700, "order-given", logrus.InfoLevel, "An engine was ordered to load something; the result says whether it accepted the order. If many orders are fenced, two routers hold the pool: see the platform's leases under /wisteriaspool/orders/."}
)

// Events of relayed requests. Each names the request and, if it gives the route,
// the version of the desired state that determined it.
var (
	RelayAttempt     = Kind{800, "relay-attempt", logrus.InfoLevel, "A request was sent to an endpoint; gives the endpoint and the version of its software, the key, whether the cache of another endpoint was fetched, the result and the times, whether the response was undelimited and, if it ended in order, what its endpoint showed then, the bytes of an incomplete event at its end, whether the endpoint leaves or wants a pause, and, if the response broke off, whether the endpoint accepted a connection after it. If they are known, reported-pace is how long work takes there according to the endpoint, and pace as measured, in percent of normal. No action needed."}
	RelayAttemptLost = Kind{801, "relay-attempt-lost", logrus.WarnLevel, "An attempt got no usable answer; the error says how far it got. Check the endpoint if this happens there more often than elsewhere."}
	RelayRefused     = Kind{802, "relay-refused", logrus.WarnLevel, "The router itself answered the request; gives the client account, the status, the reason, and after what time the caller was told to retry."}
	RelayCut         = Kind{803, "relay-cut", logrus.WarnLevel, "An answer was aborted after a part of it had been sent to the caller."}
	RelayCallerGone  = Kind{804, "relay-caller-gone", logrus.InfoLevel, "The caller disconnected before its answer was complete; the endpoint was told to stop."}
	RelayBudgetSpent = Kind{805, "relay-budget-spent", logrus.WarnLevel, "A request was not retried because the retry budget of its pool is exhausted. Look for failing endpoints."}
	RelayPlaced      = Kind{806, "relay-placed", logrus.InfoLevel, "A request was placed on an endpoint and is sent there; gives the key, the version of the endpoint's software, the attempt whose stream it takes up and the event after which it goes on, the endpoint's rank among those of the key, the duration of the placement, and the age of the router's view of the store. No action needed."}
	RelayOverdue     = Kind{807, "relay-overdue", logrus.InfoLevel, "An endpoint has sent no byte of an answer for longer than others take; gives the time waited, and whether the request may be sent to another endpoint. Check the endpoint if this happens there more often than elsewhere."}
	RelayCrash       = Kind{808, "relay-crash", logrus.WarnLevel, "An endpoint ended while it ran a request; gives the fingerprint of the request, the parts of its prompt that others may share, for how long its endpoints had written events, whether the request is tracked as a suspect, and whether the endpoint was cold. If one fingerprint, or one part, is on several endpoints that ended, requests with it crash them."}
)

// Events of streams that callers take up.
var (
	RelayTakenUp  = Kind{809, "relay-taken-up", logrus.InfoLevel, "A caller asks for the rest of a stream; gives the attempt that brought its first event, at which version of the software it began, which router knew that, how many were asked, and how many of them did not reply. With single-version, all endpoints of the pool have had one version for long enough, and with confirmed the store says so now. If the version is not known, the request is refused: see 802."}
	OriginNotKept = Kind{411, "origin-not-kept", logrus.InfoLevel, "A router could not be told at which version streams began; another one is told in its place. If this continues, see whether that router is overloaded or cut off."}
)

// Catalogue returns every kind of event, ordered by number.
func Catalogue() []Kind {
	return []Kind{
		Started, Ready, Stopping, Stopped, Failed, Reloaded, ReloadFailed, LinesDropped, RequestDropped,
		SettingsApplied, SettingsInvalid, SettingsRejected, SettingsChanged, SettingsLate,
		PlatformLost, PlatformBack, WatchOverdue, StoreRestored, CallRejected, CallsFailing,
		PeerConnected, PeerDisconnected, PeerMalformed, PeerRefused, MemberChanged, RumorShed, PeerBusy, PeerAway, PeerBack, HintFailed, CatchUpFailed, OriginNotKept,
		EndpointLeaving, EndpointLost, StreamResumed, StreamContinued, StreamMalformed, CancelFailed,
		RequestRefused, RequestSuspected, RequestConvicted, RetryBudgetSpent, CallerGone, EndpointHeld, EndpointMalformed, ChatPlaced, ChatAttempt, EndpointOutlier, ZoneEvacuated, ZoneRestored, EndpointDetour, ConvictionStored, RecordsMissed, ConvictionNotStored, MixedVersions, PartConvicted, PartExempt, PartCleared, SuspectCleared, EndpointNotReturned, EndpointCapacity, VersionsRecorded, StreamsNotWritten, StreamsLoaded, EndpointEarlier, StreamsMalformed, KeysRecorded,
		ActionUnknown, ActionRefused, ActionUnfinished, RecordLost, RecordUnsettled,
		OrderGiven,
		RelayAttempt, RelayAttemptLost, RelayRefused, RelayCut, RelayCallerGone, RelayBudgetSpent, RelayPlaced, RelayOverdue, RelayCrash, RelayTakenUp,
	}
}
