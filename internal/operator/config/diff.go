package config

import (
	"github.com/aymanbagabas/go-udiff"
	"github.com/cockroachdb/errors"
)

// Diff compares two texts line by line and returns a unified diff, which is empty if they are equal. The names appear in
// the header of the diff.
func Diff(oldName, newName, oldText, newText string) (string, error) {
	diff, err := udiff.ToUnified(oldName, newName, oldText, udiff.Lines(oldText, newText), udiff.DefaultContextLines)
	return diff, errors.Wrap(err, "compute unified diff")
}
