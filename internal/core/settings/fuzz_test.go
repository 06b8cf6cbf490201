package settings_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

// Guards against a settings file that makes the process panic, and against an error that does not state what was expected.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		valid, "", "host", "host = ", "[tls]\n[tls]", "[[host]]\n", "stop-timeout = \"1h\"", "peer-count = 1e400",
		"a.b.c = {d = [1, {e = \"\\u0000\"}]}", "host = \"\"\"\n\"\"\"", "\xff\xfe",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := settings.Parse("s.toml", text)
		var invalid *tomlfile.InvalidError
		if err != nil && (!errors.As(err, &invalid) || invalid.Expected == "") {
			t.Fatalf("error does not state what was expected: %v", err)
		}
	})
}
