// Package limit bounds what runs at once and what waits for it.
package limit
