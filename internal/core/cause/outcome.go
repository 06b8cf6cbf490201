// Package cause names what became of a request and why. The lists are closed, so that an operator can look up every
// value that a caller, a record or a metric may show.
package cause

// Outcome says what a caller may conclude about its request.
type Outcome string

const (
	// Complete means that the whole answer of the upstream was passed on.
	Complete Outcome = "complete"
	// NotRun means that the request provably had no effect.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have had its effect.
	Unknown Outcome = "unknown"
)

// Cause says why a request had its outcome, was late, or was sent again.
type Cause string

const (
	// OK means that nothing unusual happened.
	OK Cause = "ok"
	// NoSuchService means that no service of that name is declared.
	NoSuchService Cause = "no-such-service"
	// MissingKey means that the service is keyed and the request carries no key.
	MissingKey Cause = "missing-key"
	// BadRequest means that a header of the request could not be understood.
	BadRequest Cause = "bad-request"
	// NoOwner means that no server owned the key within the deadline.
	NoOwner Cause = "no-owner"
	// NotOwner means that the server refused because it does not own the key.
	NotOwner Cause = "not-owner"
	// Moving means that too many requests already waited for a key that is being moved.
	Moving Cause = "moving"
	// MapUnconfirmed means that the map was not confirmed lately, which an unguarded server requires.
	MapUnconfirmed Cause = "map-unconfirmed"
	// QueueFull means that the queue for the upstream was full.
	QueueFull Cause = "queue-full"
	// DeadlineUnmeetable means that the queue was too long for the deadline of the request.
	DeadlineUnmeetable Cause = "deadline-unmeetable"
	// DeadlinePassed means that the deadline passed before the answer was complete.
	DeadlinePassed Cause = "deadline-passed"
	// TenantShare means that the tenant used up its share of a contended upstream.
	TenantShare Cause = "tenant-share"
	// UpstreamRefused means that the upstream said that it did not run the request.
	UpstreamRefused Cause = "upstream-refused"
	// UpstreamFailed means that the upstream ran the request and answered with an error of its own.
	UpstreamFailed Cause = "upstream-failed"
	// TooLarge means that the body of the request exceeds the limit.
	TooLarge Cause = "too-large"
	// NoEntry means that no entry matches the host name and path.
	NoEntry Cause = "no-entry"
	// NoConfiguration means that the daemon knows no configuration yet.
	NoConfiguration Cause = "no-configuration"
	// UpstreamUnreachable means that no connection to the upstream could be made.
	UpstreamUnreachable Cause = "upstream-unreachable"
	// UpstreamReset means that the connection was lost after bytes of the request may have reached the upstream.
	UpstreamReset Cause = "upstream-reset"
	// AnswerCut means that the answer ended before it was whole.
	AnswerCut Cause = "answer-cut"
	// UpstreamDraining means that the upstream is leaving.
	UpstreamDraining Cause = "upstream-draining"
	// NoUpstream means that no upstream of the service could take the request.
	NoUpstream Cause = "no-upstream"
	// RetryBudget means that the request could have been sent again but the retry budget was used up.
	RetryBudget Cause = "retry-budget"
	// DuplicateRequest means that a request with the same idempotency key was accepted before.
	DuplicateRequest Cause = "duplicate-request"
	// ClaimUnavailable means that the table could not record the idempotency key.
	ClaimUnavailable Cause = "claim-unavailable"
	// CallerGone means that the caller went away before the answer.
	CallerGone Cause = "caller-gone"
	// DaemonStopping means that the daemon is being stopped.
	DaemonStopping Cause = "daemon-stopping"
	// SlowUpstream means that the answer was whole but came later than the service's target.
	SlowUpstream Cause = "slow-upstream"
	// ResumedElsewhere means that the rest of a download was fetched from another upstream.
	ResumedElsewhere Cause = "resumed-elsewhere"
)
