package cli

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// choiceFlag is a pflag.Value that accepts only a fixed list of values.
type choiceFlag struct {
	value   string
	allowed []string
}

// String returns the current value.
func (c *choiceFlag) String() string { return c.value }

// Type returns the placeholder for the value in the help text.
func (c *choiceFlag) Type() string { return "choice" }

// Set sets the value, or returns an error if it is not on the list.
func (c *choiceFlag) Set(value string) error {
	if !slices.Contains(c.allowed, value) {
		return errors.Newf("expected %s", c.describeAllowed())
	}
	c.value = value
	return nil
}

// describeAllowed returns the allowed values for help texts and errors.
func (c *choiceFlag) describeAllowed() string {
	return strings.Join(c.allowed, " or ")
}
