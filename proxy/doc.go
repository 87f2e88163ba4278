// Package proxy carries a caller's request to an upstream host and the whole
// answer back, and says of each request whether it may have run.
package proxy
