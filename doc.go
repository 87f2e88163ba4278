// Package rattanpath holds the example folders that the binary carries along.
package rattanpath
