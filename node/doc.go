// Package node puts an entry node together from the modules that register
// themselves with the kernel.
package node
