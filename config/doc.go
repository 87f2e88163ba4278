// Package config turns a folder of declaration files into the merged
// configuration: it reads, merges, decodes and checks them, and keeps for
// every setting the file and line that set it and what that overrode.
package config
