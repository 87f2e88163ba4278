// Package place chooses the host on which a task runs. It is pure.
package place
