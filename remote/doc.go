// Package remote contains clients of the platform's append-only log and host list,
// which entry nodes use, and the bodies of the platform's responses.
package remote
