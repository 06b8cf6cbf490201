package cli

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// choice is a flag whose value is one of a closed list.
type choice struct {
	value   string
	allowed []string
}

// String returns the current value.
func (c *choice) String() string { return c.value }

// Type returns the placeholder that the help text shows.
func (c *choice) Type() string { return "choice" }

// Set accepts a value of the list.
func (c *choice) Set(value string) error {
	if !slices.Contains(c.allowed, value) {
		return errors.Newf("expected %s", c.list())
	}
	c.value = value
	return nil
}

func (c *choice) list() string {
	return strings.Join(c.allowed, " or ")
}
