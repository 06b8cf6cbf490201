package cli

import (
	"io"
	"os"
	"path/filepath"
)

// standardInput stands for the standard input where a file is named.
const standardInput = "-"

// open opens a file argument and returns how messages name it.
func (r *Root) open(path string) (name string, content io.ReadCloser, err error) {
	if path == standardInput {
		return "stdin", io.NopCloser(r.In), nil
	}
	content, err = os.Open(path)
	return filepath.Base(path), content, err
}
