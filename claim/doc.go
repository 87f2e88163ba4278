// Package claim gives one node at a time exclusive write access to a topic of the
// store. A node claims the topic under a higher epoch, which fences all previous
// claims, and then writes to it.
package claim
