// Package node assembles an entry node from the fx modules that its packages
// register with core.Modules.
package node
