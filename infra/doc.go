// Package infra implements the machine controller, which assigns the machines
// of the fleet to pools and schedules their maintenance. It is active on
// one node at a time, the leader.
package infra
