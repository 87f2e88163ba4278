// Package abuse holds tests in which clients misbehave: each starts a management node
// as a process of its own and checks that it survives, within a bound on its memory and
// its descriptors, and runs the jobs that it accepted.
//
// The tests are in a package of their own because they run one at a time.
package abuse
