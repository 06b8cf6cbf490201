package config

import (
	"github.com/aymanbagabas/go-udiff"
	"github.com/cockroachdb/errors"
)

// Diff returns the differences between the lines of two texts in the unified format, empty if there are none.
func Diff(oldName, newName, oldText, newText string) (string, error) {
	diff, err := udiff.ToUnified(oldName, newName, oldText, udiff.Lines(oldText, newText), udiff.DefaultContextLines)
	return diff, errors.Wrap(err, "compare texts")
}
