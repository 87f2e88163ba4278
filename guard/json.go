package guard

import (
	"github.com/pkg/errors"
)

// Shape is the size of a JSON document in decoded form.
type Shape struct {
	// Depth is the largest number of objects and arrays around a value.
	Depth int
	// Objects is the number of objects, and Values at least that of members and elements.
	Objects int
	Values  int
}

// ShapeOf returns the shape of a JSON document without decoding it. It doesn't check the
// document; that of an invalid one is at least as large as that of its valid beginning.
func ShapeOf(data []byte) Shape {
	var s Shape
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '{', '[':
			depth++
			s.Depth = max(s.Depth, depth)
			s.Values++
			if data[i] == '{' {
				s.Objects++
			}
		case '}', ']':
			depth--
		case ',':
			s.Values++
		}
	}
	return s
}

// endOfString returns the index of the quote that ends the string which begins at start, or
// the length of the data.
func endOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// Within returns an error if the shape exceeds another.
func (s Shape) Within(most Shape) error {
	switch {
	case s.Depth > most.Depth:
		return errors.Errorf("the document is nested more than %d deep", most.Depth)
	case s.Objects > most.Objects:
		return errors.Errorf("the document has more than %d objects", most.Objects)
	case s.Values > most.Values:
		return errors.Errorf("the document has more than %d values", most.Values)
	default:
		return nil
	}
}
