// Package proxy is the HTTP reverse proxy of an entry node. It forwards callers'
// requests to upstream hosts and reports, in the verdict of each response,
// whether the request may have run.
package proxy
