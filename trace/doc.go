// Package trace assembles the timeline of a job from the logs of all nodes.
package trace
