// Package views holds the paths and the JSON types of the admin API of entry nodes
// and management nodes.
package views
