// Package cmds implements the command line of the rattanpath binary.
package cmds
