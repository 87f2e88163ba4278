// Package guard limits what clients can make a process hold: connections, bytes of
// requests and of their decoded forms, and unsent responses.
//
// A Gate is the limits of one listener. Its connections are admitted up to a number and
// charge a Budget of bytes with what they really hold. When either is spent, the client
// that has kept the process waiting longest, or that holds most for longest, is
// disconnected in favour of one that makes progress.
package guard
