package rattanpath

import (
	"embed"
	"io/fs"
)

//go:embed examples
var examples embed.FS

// Example returns the example folder with the given name, "archive" or
// "consortium".
func Example(name string) (fs.FS, error) {
	return fs.Sub(examples, "examples/"+name)
}
