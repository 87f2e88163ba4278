// Package claim gives one node at a time the right to decide on a matter: it
// claims the matter's topic in the store under a higher epoch, which fences all
// older claims off, and writes to it.
package claim
