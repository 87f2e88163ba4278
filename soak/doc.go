// Package soak holds tests that run several management nodes as processes in real time,
// while nodes, hosts and the store fail in series: each serving task must run again in
// time, and no task may run twice at once. Some nodes can't reach hosts which others reach;
// -soak.paths=false leaves that out.
//
// The tests are in a package of their own because they run one at a time. go test ./soak
// -v -run TestSoak -soak.first 1000 -soak.seeds 50 -timeout 2h plays other seeds.
//
// TestSize plays the size of a real deployment, by hand: eight nodes with a share of a core each,
// several services, 48 machines and a load with peaks. go test ./soak -v -run 'TestSize$'
// -soak.first 1 -soak.sizeseeds 10 -timeout 1h plays ten seeds; see the flags of size_test.go.
package soak
