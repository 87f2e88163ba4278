// Package soak holds tests that run several management nodes as processes in real time,
// while nodes, hosts and the store fail in series: each serving task must run again in
// time, and no task may run twice at once. Some nodes can't reach hosts which others reach;
// -soak.paths=false leaves that out.
//
// The tests are in a package of their own because they run one at a time. go test ./soak
// -v -run TestSoak -soak.first 1000 -soak.seeds 50 -timeout 2h plays other seeds.
package soak
