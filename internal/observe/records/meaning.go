package records

import "rosemarywick.example/rosemarywick/internal/core/cause"

// meanings describes each cause to operators.
var meanings = map[cause.Cause]string{
	cause.OK:                  "nothing unusual happened",
	cause.NoSuchService:       "no service of that name is declared in the configuration in force on the host",
	cause.MissingKey:          "the service is keyed and the request carried no key",
	cause.BadRequest:          "a header of the request could not be understood",
	cause.NoOwner:             "no server owned the key within the deadline; see partitions of the service",
	cause.NotOwner:            "the server refused because it did not own the key; the host's map was behind",
	cause.Moving:              "too many requests already waited for a key that was being moved",
	cause.MapUnconfirmed:      "the map was not confirmed in time, which a server without a guard requires",
	cause.QueueFull:           "the queue for the upstream was full",
	cause.DeadlineUnmeetable:  "the queue was too long for the deadline, so that the request was refused early",
	cause.DeadlinePassed:      "the deadline passed before the answer was complete",
	cause.TenantShare:         "the tenant had used up its share of a contended upstream",
	cause.UpstreamLimit:       "the upstream limits the requests that it takes, and the limit was used up",
	cause.UpstreamCold:        "the upstream has started recently and takes few requests, and their number was used up",
	cause.UpstreamPaused:      "the upstream has asked this daemon to send nothing for some time",
	cause.UpstreamFull:        "the upstream accepted no further connection",
	cause.UpstreamRefused:     "the upstream stated that it did not run the request",
	cause.UpstreamUnreachable: "no connection to the upstream could be made",
	cause.UpstreamReset:       "the connection was lost after the request may have reached the upstream",
	cause.ResponseTruncated:   "the answer ended before it was complete",
	cause.UpstreamDraining:    "the upstream was leaving and took no new work",
	cause.DomainEvacuated:     "the operators had evacuated the failure domain of the upstreams that could have served it",
	cause.NoUpstream:          "no upstream of the service could take the request",
	cause.NoRoom:              "there was no room in memory for the body of the request",
	cause.RetryBudget:         "the request could have been sent again, but the retry budget was used up",
	cause.DuplicateRequest:    "a request with the same idempotency key had been accepted before",
	cause.ClaimUnavailable:    "the table could not record the idempotency key, so that the request was not run",
	cause.CallerGone:          "the caller closed its connection before the answer",
	cause.DaemonStopping:      "the daemon was being stopped",
	cause.SlowUpstream:        "the answer was complete but later than the service's target",
	cause.ResumedElsewhere:    "the rest of a download was fetched from another upstream",
}

// Meaning returns a clause that explains a cause to an operator. It is empty for an unknown cause.
func Meaning(value cause.Cause) string {
	return meanings[value]
}

// IsKnownCause reports whether the value is one of the causes that records can have.
func IsKnownCause(value cause.Cause) bool {
	return meanings[value] != ""
}
