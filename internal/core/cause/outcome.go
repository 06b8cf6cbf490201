// Package cause defines the outcomes of a request and their causes. Both lists are complete, so that an operator can look
// up every value that appears in a response, a record or a metric.
package cause

// Outcome tells the caller what it may assume about the effect of its request.
type Outcome string

const (
	// Complete means that the complete response of the upstream was passed on.
	Complete Outcome = "complete"
	// NotRun means that the request certainly had no effect.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have taken effect.
	Unknown Outcome = "unknown"
)

// Cause is the reason for the outcome of a request, or for its being late or sent again.
type Cause string

const (
	// OK means that nothing unusual happened.
	OK Cause = "ok"
	// NoSuchService means that no service of that name is declared.
	NoSuchService Cause = "no-such-service"
	// MissingKey means that the service is keyed and the request carries no key.
	MissingKey Cause = "missing-key"
	// BadRequest means that a header of the request is invalid.
	BadRequest Cause = "bad-request"
	// NoOwner means that no server owned the key within the deadline of the request.
	NoOwner Cause = "no-owner"
	// NotOwner means that the server rejected the request because it does not own the key.
	NotOwner Cause = "not-owner"
	// Moving means that the key is being moved and too many requests were already waiting for that.
	Moving Cause = "moving"
	// MapUnconfirmed means that the confirmation of the ownership map has expired. Servers that don't check fencing tokens
	// need a confirmed map.
	MapUnconfirmed Cause = "map-unconfirmed"
	// QueueFull means that the queue of the upstream was full.
	QueueFull Cause = "queue-full"
	// DeadlineUnmeetable means that the expected wait in the queue was too long for the deadline of the request.
	DeadlineUnmeetable Cause = "deadline-unmeetable"
	// DeadlinePassed means that the deadline passed before the response was complete.
	DeadlinePassed Cause = "deadline-passed"
	// TenantShare means that the tenant has used its share of an overloaded upstream.
	TenantShare Cause = "tenant-share"
	// UpstreamRefused means that the upstream stated that it did not run the request.
	UpstreamRefused Cause = "upstream-refused"
	// UpstreamFull means that the upstream accepted no further connection, so that the request was not sent.
	UpstreamFull Cause = "upstream-full"
	// UpstreamLimit means that the upstream limits the requests that it takes from all daemons, and that the limit is used up.
	UpstreamLimit Cause = "upstream-limit"
	// UpstreamCold means that the upstream has started recently and takes few requests, and that their number is used up.
	UpstreamCold Cause = "upstream-cold"
	// UpstreamPaused means that the upstream has asked this daemon to send nothing for some time.
	UpstreamPaused Cause = "upstream-paused"
	// UpstreamFailed means that the upstream ran the request and responded with an error of its own.
	UpstreamFailed Cause = "upstream-failed"
	// TooLarge means that the body of the request exceeds the limit.
	TooLarge Cause = "too-large"
	// NoRoom means that there was no room in memory for the body of the request.
	NoRoom Cause = "no-room"
	// NoEntry means that no entry of the configuration matches the host name and path.
	NoEntry Cause = "no-entry"
	// NoConfiguration means that the daemon has no configuration yet.
	NoConfiguration Cause = "no-configuration"
	// UpstreamUnreachable means that no connection to the upstream could be made.
	UpstreamUnreachable Cause = "upstream-unreachable"
	// UpstreamReset means that the connection was lost after bytes of the request may have reached the upstream.
	UpstreamReset Cause = "upstream-reset"
	// ResponseTruncated means that the response ended before it was complete.
	ResponseTruncated Cause = "answer-cut"
	// UpstreamDraining means that the upstream is shutting down.
	UpstreamDraining Cause = "upstream-draining"
	// DomainEvacuated means that the operators have evacuated the failure domain of the upstreams that could serve the request.
	DomainEvacuated Cause = "domain-evacuated"
	// NoUpstream means that no upstream of the service could take the request.
	NoUpstream Cause = "no-upstream"
	// RetryBudget means that the request could have been sent again, but the retry budget was used up.
	RetryBudget Cause = "retry-budget"
	// DuplicateRequest means that a request with the same idempotency key was accepted before.
	DuplicateRequest Cause = "duplicate-request"
	// ClaimUnavailable means that the table service could not record the idempotency key.
	ClaimUnavailable Cause = "claim-unavailable"
	// CallerGone means that the caller disconnected before the response.
	CallerGone Cause = "caller-gone"
	// DaemonStopping means that the daemon is being stopped.
	DaemonStopping Cause = "daemon-stopping"
	// SlowUpstream means that the response was complete but took longer than the target of the service.
	SlowUpstream Cause = "slow-upstream"
	// ResumedElsewhere means that the rest of a download was fetched from another upstream.
	ResumedElsewhere Cause = "resumed-elsewhere"
)
