package intake

import (
	"net/http"

	"rattanpath/queue"
)

// The reasons of refusals are the values of the label "reason" of the metric of refusals.
const (
	refusedMissing      = "missing"
	refusedUnknown      = "unknown"
	refusedWithdrawn    = "withdrawn"
	refusedOrganisation = "organisation"
)

// identifyCaller determines the organisation whose key the caller presents. If the queue
// needs a valid key and there is none, it refuses the request and returns false. The key
// itself isn't kept, so that nothing can show it.
func (x *exchange) identifyCaller() bool {
	key := x.codec.Key(x.r.Header)
	var organisation *queue.Organisation
	if key != "" {
		// An owner with a newer configuration may require keys that this one doesn't.
		hash := queue.HashKey(key)
		x.keyHash = hash[:]
		organisation = x.config.KeyHolder(hash)
	}
	switch {
	case !x.config.RequiresKeys:
		return true
	case organisation != nil:
		x.organisation = organisation.Name
		return true
	case x.queue.Public:
		return true
	case key == "":
		x.refuseKey(refusedMissing)
	default:
		x.refuseKey(refusedUnknown)
	}
	return false
}

// refuseKey answers that the caller has no valid key. The connection is closed if a body
// follows: the HTTP server would otherwise read it before it sends the response.
func (x *exchange) refuseKey(reason string) {
	x.countRefusal(reason)
	if x.r.ContentLength != 0 {
		x.w.Header().Set("Connection", "close")
	}
	x.writeError(http.StatusUnauthorized, "the queue needs the key of an organisation: key "+reason)
}

// countRefusal counts a refused request by one of the reasons above.
func (x *exchange) countRefusal(reason string) {
	x.metrics.GetOrCreateCounter(`rattanpath_intake_key_refusals_total{reason="` + reason + `"}`).Inc()
}
