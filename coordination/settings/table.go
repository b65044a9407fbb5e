package settings

import "wisteriaspool/coordination/settings/schema"

// Section and key names of a team's settings.
const (
	sectionTeam     = "team"
	sectionActions  = "actions"
	sectionAccounts = "accounts"
	sectionAccount  = "account"
	sectionModel    = "model"
	sectionService  = "service"
	sectionZones    = "zones"

	keyPriorityDefault = "priority-default"
	keyPriorityCap     = "priority-cap"
	keyRetryBudget     = "retry-budget"
	keyDeadline        = "deadline-default"
	keyRetention       = "retention"
	keyClockSkew       = "clock-skew"
	keyAnswerLimit     = "answer-limit"
	keyOnlyListed      = "only-listed"
	keyWeightDefault   = "weight-default"
	keyWeight          = "weight"
	keyVersion         = "version"
	keyLoadBound       = "load-bound"
	keyCapacity        = "capacity"
	keyQueue           = "queue"
	keyWarmWait        = "warm-wait"
	keyMaxTokens       = "max-tokens"
	keyStallTimeout    = "stall-timeout"
	keyAdapters        = "adapters"
	keyLoadPace        = "load-pace"
	keyNonIdempotent   = "non-idempotent"
	keyActionTimeout   = "action-timeout"
	keyEvacuated       = "evacuated"
)

// Schema declares all sections and keys of a team's settings.
var Schema = schema.Schema{
	{
		Name: sectionTeam,
		Doc:  "Priorities, retries and deadlines of the team's requests.",
		Keys: []schema.Key{
			{Name: keyPriorityDefault, Kind: schema.Integer, Default: "0", Min: "-100", Max: "100", Doc: "Priority of a request that sets none; higher priorities go first."},
			{Name: keyPriorityCap, Kind: schema.Integer, Default: "10", Min: "-100", Max: "100", Doc: "Highest priority that a request can get; higher requested priorities are lowered to it."},
			{Name: keyRetryBudget, Kind: schema.Number, Unit: "retries per request", Default: "0.1", Min: "0", Max: "1", Doc: "Fraction of requests that may be retried."},
			{Name: keyDeadline, Kind: schema.Duration, Default: "30s", Min: "10ms", Max: "10m", Doc: "Time within which an answer must start, for a request that sets no deadline."},
		},
	},
	{
		Name: sectionModel, Named: true,
		Doc: "A model that the team's callers may ask for. A model that is not listed is refused.",
		Keys: []schema.Key{
			{Name: keyVersion, Kind: schema.Text, Doc: "Version that serves the model; empty for a pool without versions."},
			{Name: keyLoadBound, Kind: schema.Number, Unit: "times the pool's mean", Default: "1.25", Min: "1.01", Max: "10", Doc: "Load that no engine of the pool may exceed."},
			{Name: keyCapacity, Kind: schema.Integer, Unit: "requests per endpoint", Default: "0", Min: "0", Max: "100000", Doc: "Requests that one engine may run at a time; 0 uses the capacity that the engine reports."},
			{Name: keyQueue, Kind: schema.Integer, Unit: "requests per endpoint", Default: "256", Min: "0", Max: "100000", Doc: "Requests that may wait for one engine; more are refused."},
			{Name: keyWarmWait, Kind: schema.Duration, Default: "50ms", Min: "0ms", Max: "100ms", Doc: "How long a chat may wait for the engine that holds its context before it goes to another."},
			{Name: keyMaxTokens, Kind: schema.Integer, Unit: "tokens", Default: "4096", Min: "1", Max: "1000000", Doc: "Tokens that one answer may have."},
			{Name: keyAdapters, Kind: schema.Names, Doc: "Adapters that every engine of the pool loads."},
			{Name: keyLoadPace, Kind: schema.Duration, Default: "5s", Min: "0s", Max: "10m", Doc: "Minimum time between two adapter loads in the pool, to respect the rate limit of the weight store."},
			{Name: keyStallTimeout, Kind: schema.Duration, Default: "10s", Min: "100ms", Max: "10m", Doc: "Time without output from an engine after which an attempt counts as lost."},
		},
	},
	{
		Name: sectionService, Named: true,
		Doc: "A plain service that the team's callers may call. A service that is not listed is refused.",
		Keys: []schema.Key{
			{Name: keyNonIdempotent, Kind: schema.Names, Doc: "Actions that run at most once for each Idempotency-Key."},
			{Name: keyActionTimeout, Kind: schema.Duration, Default: "10s", Min: "10ms", Max: "10m", Doc: "Time within which the service must answer."},
			{Name: keyCapacity, Kind: schema.Integer, Unit: "requests per endpoint", Default: "0", Min: "0", Max: "100000", Doc: "Requests that one endpoint may run at a time; 0 uses the capacity that the endpoint reports."},
		},
	},
	{
		Name: sectionZones,
		Doc:  "Availability zones, for the endpoints of all teams.",
		Keys: []schema.Key{
			{Name: keyEvacuated, Kind: schema.Names, Doc: "Zones whose endpoints get no new requests while the settings of any team name them."},
		},
	},
	{
		Name: sectionActions,
		Doc:  "How long and at what size the outcomes of non-idempotent actions are kept.",
		Keys: []schema.Key{
			{Name: keyRetention, Kind: schema.Duration, Default: "24h", Min: "1m", Max: "24h", Doc: "How long the outcome of a key is kept; an older key is refused."},
			{Name: keyClockSkew, Kind: schema.Duration, Default: "5s", Min: "0s", Max: "1m", Doc: "Largest allowed difference between the clocks of callers and routers; it shortens the retention that callers see."},
			{Name: keyAnswerLimit, Kind: schema.Size, Default: "64KiB", Min: "0B", Max: "512KiB", Doc: "Largest answer that is kept for repeated requests; of a larger one, only the outcome is kept."},
		},
	},
	{
		Name: sectionAccounts,
		Doc:  "Settings for all client accounts of the team.",
		Keys: []schema.Key{
			{Name: keyOnlyListed, Kind: schema.Boolean, Default: "false", Doc: "Whether accounts without a section of their own are refused."},
			{Name: keyWeightDefault, Kind: schema.Number, Default: "1", Min: "0.01", Max: "1000", Doc: "Weight of an account without a section of its own."},
		},
	},
	{
		Name: sectionAccount, Named: true,
		Doc: "One client account.",
		Keys: []schema.Key{
			{Name: keyWeight, Kind: schema.Number, Default: "1", Min: "0.01", Max: "1000", Doc: "Share of a busy endpoint that the account gets, relative to the others'."},
		},
	},
}
