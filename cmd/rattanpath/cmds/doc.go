// Package cmds holds the commands of the rattanpath binary.
package cmds
