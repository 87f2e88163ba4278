// Package shift decides which machines change their pool. It is pure.
package shift
