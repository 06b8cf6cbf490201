package cli

import (
	"io"
	"os"
	"path/filepath"
)

// stdinArg is the file argument that stands for standard input.
const stdinArg = "-"

// openInput opens a file argument. The returned name is for messages.
func (r *Root) openInput(path string) (name string, content io.ReadCloser, err error) {
	if path == stdinArg {
		return "stdin", io.NopCloser(r.In), nil
	}
	content, err = os.Open(path)
	return filepath.Base(path), content, err
}
