// Package core is the kernel: the verdict on a request, the registry through
// which plug-ins announce themselves, and the plain types that the other
// packages share.
package core
