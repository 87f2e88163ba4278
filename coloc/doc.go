// Package coloc learns from the reports of hosts which images slow each other down when
// their tasks run on the same host. It does no I/O and reads no clock.
package coloc
