// Package query asks entry nodes over their admin addresses.
package query
