// Package rattanpath embeds the example folders into the binary.
package rattanpath
