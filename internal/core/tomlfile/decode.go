// Package tomlfile decodes TOML strictly and reports where an error is: the file, the line, the key and what was expected.
// It is used for settings files and configuration documents.
package tomlfile

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// InvalidError is one error in a TOML text.
type InvalidError struct {
	File string
	// Line is the first line of the error, counted from 1. It is 0 if the key is missing from the text.
	Line int
	// Key is the dotted path of the key. Elements of an array of tables include their index, as in "services[1].name".
	Key string
	// Expected states what the value must be.
	Expected string
}

// Error returns "file:line: key: expected ...".
func (e *InvalidError) Error() string {
	location := e.File
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", location, e.Expected)
	}
	return fmt.Sprintf("%s: %s: %s", location, e.Key, e.Expected)
}

// Decode decodes text into target and rejects keys that target does not have.
func Decode(file string, text []byte, target any) error {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		return errorAt(file, &unknownKeys.Errors[0], "unknown key")
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return errorAt(file, decodeErr, rewriteMismatch(strings.TrimPrefix(decodeErr.Error(), "toml: ")))
	}
	return &InvalidError{File: file, Expected: strings.TrimPrefix(err.Error(), "toml: ")}
}

// tomlTypes describes Go types in terms of TOML.
var tomlTypes = map[string]string{
	"int": "a number without quotes", "string": "a text in quotes", "bool": "true or false",
}

// rewriteMismatch rewrites a type mismatch reported by the TOML library, which names Go types of this program. It returns
// other messages unchanged.
func rewriteMismatch(description string) string {
	foundType, goType, isMismatch := strings.Cut(strings.TrimPrefix(description, "cannot decode TOML "), " into struct field ")
	if !isMismatch {
		return description
	}
	expected := tomlTypes[goType[strings.LastIndexByte(goType, ' ')+1:]]
	if expected == "" {
		expected = "another type of value"
	}
	return fmt.Sprintf("expected %s, not a TOML %s", expected, foundType)
}

func errorAt(file string, err *toml.DecodeError, expected string) *InvalidError {
	line, _ := err.Position()
	return &InvalidError{File: file, Line: line, Key: strings.Join(err.Key(), "."), Expected: expected}
}

// Invalid returns an error for the value at key, which was decoded from text but is not valid.
func Invalid(file string, text []byte, key, expected string) *InvalidError {
	return &InvalidError{File: file, Line: lineOf(text, key), Key: key, Expected: expected}
}

// lineOf returns the line that sets key. If there is none, it returns the line of the innermost table that would contain
// the key, or 0.
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

// keyLines returns the line of each key and table in the text, by path.
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
			table = withIndexes(name, counts)
		case unstable.ArrayTable:
			path := withIndexes(name, counts)
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

// withIndexes inserts after each array of tables on the path, except for the last element, the index of its latest element.
func withIndexes(name string, counts map[string]int) string {
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

// keyOf returns the dotted key of a node and the line of its first part.
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
