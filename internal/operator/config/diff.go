package config

import "github.com/aymanbagabas/go-udiff"

// Diff returns the differences between two texts in the unified format, empty if there are none.
func Diff(oldName, newName, oldText, newText string) string {
	return udiff.Unified(oldName, newName, oldText, newText)
}
