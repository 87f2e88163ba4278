package guard

import "bytes"

// headerScanner finds the end of a request's header, and its lines, in the bytes that are read
// from a connection. The body may follow in the same bytes.
type headerScanner struct {
	// lines is the number of lines so far, and lineLength the length of the one that has
	// begun, without the characters that end it.
	lines, lineLength int
	// begun is set after the first line that isn't empty, ended after the empty line that
	// ends the header.
	begun, ended bool
}

// scan takes the next bytes, and returns how many of them belong to the header and how many
// lines end in them.
func (s *headerScanner) scan(data []byte) (size, lines int) {
	before := s.lines
	for size < len(data) && !s.ended {
		end := bytes.IndexByte(data[size:], '\n')
		if end < 0 {
			s.lineLength += lengthOf(data[size:])
			size = len(data)
			break
		}
		s.endLine(s.lineLength + lengthOf(data[size:size+end]))
		size += end + 1
	}
	return size, s.lines - before
}

func (s *headerScanner) endLine(length int) {
	s.lines++
	s.lineLength = 0
	s.ended = s.begun && length == 0
	s.begun = s.begun || length > 0
}

// lengthOf returns the length of a piece of a line without the carriage return at its end.
func lengthOf(piece []byte) int { return len(bytes.TrimSuffix(piece, []byte{'\r'})) }
