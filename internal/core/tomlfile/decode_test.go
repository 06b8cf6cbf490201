package tomlfile_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

type example struct {
	Name    string            `toml:"name"`
	Timeout tomlfile.Duration `toml:"timeout"`
	Items   []struct {
		Size int `toml:"size"`
		Subs []struct {
			Weight int `toml:"weight"`
		} `toml:"subs"`
	} `toml:"items"`
}

// Guards against an error that does not state where it is and what was expected.
func TestDecodeErrors(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "name = \"a\"\nlabel = \"b\"\n", "f.toml:2: label: unknown key"},
		{"wrong type", "\nname = 3\n", "f.toml:2: name: expected a text in quotes, not a TOML integer"},
		{"no unit", "timeout = \"250\"\n", "f.toml:1: timeout: expected a duration with a unit such as \"250ms\" or \"2s\", not \"250\""},
		{"syntax", "name = \n", "f.toml:1: unexpected character U+000A at start of value"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := tomlfile.Decode("f.toml", []byte(test.text), &example{})
			is.True(err != nil)              // the text is invalid
			is.Equal(err.Error(), test.want) // file, line, key and what was expected
		})
	}
}

// Guards against reporting the line of a sibling table for a value that is out of range.
func TestInvalidLine(t *testing.T) {
	is := is.New(t)
	text := []byte("[[items]]\nsize = 1\n[[items]]\n[[items.subs]]\nweight = 1\n[[items.subs]]\nweight = -1\n")
	is.Equal(tomlfile.Invalid("f", text, "items[0].size", "x").Line, 2)
	is.Equal(tomlfile.Invalid("f", text, "items[1].subs[1].weight", "x").Line, 7)
	is.Equal(tomlfile.Invalid("f", text, "items[1].size", "x").Line, 3) // not set: the line of its table
}

// Guards against a duration that does not survive encoding and decoding.
func TestDurationText(t *testing.T) {
	is := is.New(t)
	text, err := tomlfile.Duration(1500 * time.Millisecond).MarshalText()
	is.NoErr(err)
	var back tomlfile.Duration
	is.NoErr(back.UnmarshalText(text))
	is.Equal(time.Duration(back), 1500*time.Millisecond)
}
