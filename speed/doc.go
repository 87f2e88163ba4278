// Package speed estimates from the progress of runs which hosts are slow compared with
// others that run the same kinds of tasks. It does no I/O and reads no clock.
package speed
