// Package limit provides admission control: a lock-free counter of slots in use
// (Slots) and a bounded FIFO queue of waiters (Queue).
package limit
