// Package stub serves the fakes of the outside platform over HTTP, for tests that run
// management nodes as processes of their own: the store, the cloud and hosts whose faults
// and restarts the tests choose. Production code doesn't use this package.
package stub
