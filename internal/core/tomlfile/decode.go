// Package tomlfile reads TOML text strictly and says where a problem is: file, line, key and what was expected. Settings
// files and configuration documents are both read through it.
package tomlfile

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// InvalidError is one fault of a TOML text.
type InvalidError struct {
	File string
	// Line is the first line of the fault, counted from 1, or 0 if the key is missing from the text.
	Line int
	// Key is the dotted path of the key; elements of an array of tables carry their index, as in "services[1].name".
	Key string
	// Expected says what the value has to be.
	Expected string
}

// Error returns the fault as "file:line: key: expected ...".
func (p *InvalidError) Error() string {
	where := p.File
	if p.Line > 0 {
		where += ":" + strconv.Itoa(p.Line)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", where, p.Expected)
	}
	return fmt.Sprintf("%s: %s: %s", where, p.Key, p.Expected)
}

// Decode reads text into target and refuses keys that target does not have.
func Decode(file string, text []byte, target any) error {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		return problemAt(file, &missing.Errors[0], "unknown key")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return problemAt(file, decode, expectation(strings.TrimPrefix(decode.Error(), "toml: ")))
	}
	return &InvalidError{File: file, Expected: strings.TrimPrefix(err.Error(), "toml: ")}
}

// kinds names the types of values in the words of TOML.
var kinds = map[string]string{
	"int": "a number without quotes", "string": "a text in quotes", "bool": "true or false",
}

// expectation replaces the library's description of a wrong type, which names types of this program.
func expectation(description string) string {
	found, rest, mismatch := strings.Cut(strings.TrimPrefix(description, "cannot decode TOML "), " into struct field ")
	if !mismatch {
		return description
	}
	expected := kinds[rest[strings.LastIndexByte(rest, ' ')+1:]]
	if expected == "" {
		expected = "another type of value"
	}
	return fmt.Sprintf("expected %s, not a TOML %s", expected, found)
}

func problemAt(file string, err *toml.DecodeError, expected string) *InvalidError {
	line, _ := err.Position()
	return &InvalidError{File: file, Line: line, Key: strings.Join(err.Key(), "."), Expected: expected}
}

// Invalid returns the problem that the value at key, which was decoded from text, is not what was expected.
func Invalid(file string, text []byte, key, expected string) *InvalidError {
	return &InvalidError{File: file, Line: lineOf(text, key), Key: key, Expected: expected}
}

// lineOf returns the line on which key is set, or the line of the nearest table around it, or 0.
func lineOf(text []byte, key string) int {
	lines := keyLines(text)
	for key != "" {
		if line, found := lines[key]; found {
			return line
		}
		key = key[:max(strings.LastIndexByte(key, '.'), 0)]
	}
	return 0
}

// keyLines maps the path of each key and table of the text to its line.
func keyLines(text []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	table := ""
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		node := parser.Expression()
		name, line := keyOf(&parser, node)
		switch node.Kind {
		case unstable.Table:
			table = indexed(name, counts)
		case unstable.ArrayTable:
			path := indexed(name, counts)
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
		case unstable.KeyValue:
			lines[strings.TrimPrefix(table+"."+name, ".")] = line
			continue
		default:
			continue
		}
		lines[table] = line
	}
	return lines
}

// indexed adds to each array of tables on the path, save the last element, the index of its latest element.
func indexed(name string, counts map[string]int) string {
	parts := strings.Split(name, ".")
	path := ""
	for i, part := range parts {
		path = strings.TrimPrefix(path+"."+part, ".")
		if count := counts[path]; count > 0 && i < len(parts)-1 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path
}

func keyOf(parser *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for iterator := node.Key(); iterator.Next(); {
		part := iterator.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
