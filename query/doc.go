// Package query is a client of the admin API of entry nodes and management nodes.
package query
