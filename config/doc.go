// Package config loads the fleet's configuration from a folder of YAML files,
// called declaration files. It reads, merges, decodes and validates them, and
// records for each setting the file and line that set it and the values that it
// overrode.
package config
