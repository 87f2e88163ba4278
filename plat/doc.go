// Package plat adapts the platform's log and host list to the interfaces of
// the packages that use them.
package plat
