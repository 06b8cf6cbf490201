package tomlfile

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written in TOML as a string with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("expected a duration with a unit such as \"250ms\" or \"2s\", not %q", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
