package config

import (
	"io/fs"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	maxFileBytes   = 256 << 10
	maxFolderBytes = 1 << 20
	fileSuffix     = ".yaml"
)

// Files maps the name of each declaration file to its text.
type Files map[string]string

// Names returns the names of the files in merge order: ascending, compared byte
// by byte.
func (f Files) Names() []string {
	names := make([]string, 0, len(f))
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ReadFolder reads the declaration files of a folder. It skips names that start
// with a dot. Any other entry must be a regular file of limited size whose name
// ends in .yaml, or the error is of type Problems.
func ReadFolder(dir string) (Files, error) {
	return ReadFS(os.DirFS(dir), dir)
}

// ReadFS is like ReadFolder for the root of a file system; dir is the name of
// the folder in errors.
func ReadFS(fsys fs.FS, dir string) (Files, error) {
	entries, err := fs.ReadDir(fsys, ".")
	if errors.Is(err, fs.ErrNotExist) {
		var problems Problems
		problems.add(Position{File: dir, Line: 1, Column: 1}, "give a folder of declaration files", "folder does not exist")
		return nil, problems.err()
	}
	if err != nil {
		return nil, errors.Wrapf(err, "reading declaration files in %s", dir)
	}
	files := make(Files)
	var problems Problems
	total := 0
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), ".") {
			continue
		}
		text, err := readFile(fsys, entry.Name(), &problems)
		if err != nil {
			return nil, err
		}
		files[entry.Name()] = text
		total += len(text)
	}
	start := Position{File: dir, Line: 1, Column: 1}
	if len(files) == 0 && len(problems) == 0 {
		problems.add(start, "add at least one file that ends in "+fileSuffix, "folder contains no declaration files")
	}
	if total > maxFolderBytes {
		problems.add(start, "split the fleet or remove settings that repeat defaults", "folder contains %d bytes; at most %d are allowed", total, maxFolderBytes)
	}
	return files, problems.err()
}

func readFile(fsys fs.FS, name string, problems *Problems) (string, error) {
	start := Position{File: name, Line: 1, Column: 1}
	info, err := fs.Stat(fsys, name)
	if err != nil {
		return "", errors.Wrap(err, "reading declaration file")
	}
	switch {
	case !info.Mode().IsRegular():
		problems.add(start, "move it out of the folder", "not a regular file")
		return "", nil
	case !strings.HasSuffix(name, fileSuffix):
		problems.add(start, "rename it, or start its name with a dot to have it skipped", "file name does not end in %s", fileSuffix)
		return "", nil
	case info.Size() > maxFileBytes:
		problems.add(start, "split it into smaller files", "file has %d bytes; at most %d are allowed", info.Size(), maxFileBytes)
		return "", nil
	}
	data, err := fs.ReadFile(fsys, name)
	if err != nil {
		return "", errors.Wrap(err, "reading declaration file")
	}
	return string(data), nil
}

// hasEncodingProblem reports whether the text is not UTF-8 or contains a null
// byte, and adds a problem if so.
func hasEncodingProblem(name, text string, problems *Problems) bool {
	pos := Position{File: name, Line: 1, Column: 1}
	if strings.HasPrefix(text, "\xff\xfe") || strings.HasPrefix(text, "\xfe\xff") {
		problems.add(pos, "save it as UTF-8", "the file is encoded as UTF-16")
		return true
	}
	for i, r := range text {
		if r != utf8.RuneError {
			continue
		}
		if _, size := utf8.DecodeRuneInString(text[i:]); size != 1 {
			continue
		}
		before := text[:i]
		pos.Line = 1 + strings.Count(before, "\n")
		pos.Column = 1 + utf8.RuneCountInString(before[strings.LastIndex(before, "\n")+1:])
		problems.add(pos, "save it as UTF-8", "byte 0x%02x is not UTF-8", text[i])
		return true
	}
	if i := strings.IndexByte(text, 0); i >= 0 {
		pos.Line = 1 + strings.Count(text[:i], "\n")
		problems.add(pos, "save it as plain text", "the file holds a zero byte")
		return true
	}
	return false
}
