package core

// CompareBools compares two booleans like cmp.Compare: false comes before true.
func CompareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
