package intake

import (
	"net/http"

	"rattanpath/guard"
	"rattanpath/queue"
)

// The reasons why a caller is refused because of its key. They are label values of
// rattanpath_intake_key_refusals_total.
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
	if key := x.codec.Key(x.r.Header); key != "" {
		// An owner with a newer configuration may require keys that this one doesn't.
		hash := queue.HashKey(key)
		x.keyHash = hash[:]
	}
	organisation, refused := identify(x.config, x.queue, x.keyHash)
	if refused != "" {
		x.refuseKey(refused)
		return false
	}
	x.organisation = organisation
	return true
}

// identify returns the organisation that holds the key with a hash, which is empty for callers
// without a key, or why the queue refuses the caller.
func identify(config *queue.Config, q *queue.Queue, keyHash []byte) (organisation, refused string) {
	if !config.RequiresKeys {
		return "", ""
	}
	if holder := config.KeyHolderByHash(keyHash); holder != nil {
		return holder.Name, ""
	}
	switch {
	case q.Public:
		return "", ""
	case len(keyHash) == 0:
		return "", refusedMissing
	default:
		return "", refusedUnknown
	}
}

// limitUnknown limits what a caller without a valid key makes this node hold, where keys are
// required, so that it can't spend what known callers need.
func (x *exchange) limitUnknown() {
	guard.SetKnown(x.r, !x.config.RequiresKeys || x.organisation != "")
}

// refuseKey answers that the caller has no valid key. The connection is closed if a body
// follows: the HTTP server would otherwise read it before it sends the response.
func (x *exchange) refuseKey(reason string) {
	x.countRefusal(reason)
	if x.r.ContentLength != 0 {
		x.w.Header().Set("Connection", "close")
	}
	x.writeError(http.StatusUnauthorized, keyRefusal(reason))
}

// keyRefusal returns the text of the response to a caller without a valid key.
func keyRefusal(reason string) string {
	return "the queue needs the key of an organisation: key " + reason
}

// countRefusal counts a refused request by one of the reasons above.
func (x *exchange) countRefusal(reason string) {
	x.metrics.GetOrCreateCounter(`rattanpath_intake_key_refusals_total{reason="` + reason + `"}`).Inc()
}
