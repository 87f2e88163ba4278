// Package soak holds tests that run several management nodes as processes in real time,
// while nodes and hosts fail: each serving task must run again in time, and no task may run
// twice at once.
//
// The tests are in a package of their own because they run one at a time.
package soak
