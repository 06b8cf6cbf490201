package config

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

// Edit changes one element of a document. It is one of Drain, Pin and Unpin.
type Edit interface {
	edit()
}

// Drain sets or clears the drained flag of an upstream.
type Drain struct {
	Upstream fleet.UpstreamID
	Drained  bool
}

// Pin assigns a key permanently to one server and replaces an earlier pin of that key.
type Pin struct{ document.Pin }

// Unpin removes the pin of a key.
type Unpin struct {
	Service fleet.ServiceName
	Key     string
}

func (Drain) edit() {}
func (Pin) edit()   {}
func (Unpin) edit() {}

// ApplyEdit applies an edit to the text of a document and preserves all other lines, comments included. It returns the text
// unchanged if the document already has the requested state. Edits work on lines and don't cover every TOML syntax, such as
// inline tables. The result is therefore parsed and compared with the intended document, and a mismatch is an InvalidError.
func ApplyEdit(text string, edit Edit) (string, error) {
	doc, err := Parse(documentName, text)
	if err != nil {
		return "", err
	}
	lines := strings.SplitAfter(text, "\n")
	var rewritten []string
	switch edit := edit.(type) {
	case Drain:
		rewritten, err = applyDrain(lines, doc, edit)
	case Pin:
		rewritten, err = applyPin(lines, doc, edit)
	case Unpin:
		rewritten, err = applyUnpin(lines, doc, edit)
	default:
		err = errors.AssertionFailedf("unknown edit type %T", edit)
	}
	if err != nil {
		return "", err
	}
	result := strings.Join(rewritten, "")
	actual, err := Parse(documentName, result)
	if err != nil || !reflect.DeepEqual(actual, doc) {
		return "", &InvalidError{Err: errors.New("document syntax does not allow this edit; change the text and apply it instead")}
	}
	return result, nil
}

// lineOfKey returns the index of the line that sets a key. If the key is not set, it returns the line of the nearest
// enclosing table, or -1 if there is none.
func lineOfKey(lines []string, key string) int {
	return tomlfile.Invalid("", []byte(strings.Join(lines, "")), key, "").Line - 1
}

var (
	boolPattern   = regexp.MustCompile(`=\s*(true|false)`)
	indentPattern = regexp.MustCompile(`^[ \t]*`)
)

// applyDrain edits the lines and updates doc to the document that the edited lines should parse to.
func applyDrain(lines []string, doc *document.Document, edit Drain) ([]string, error) {
	path, upstream := findUpstream(doc, edit.Upstream)
	if upstream == nil {
		return nil, &NotFoundError{Kind: "upstream", Name: string(edit.Upstream)}
	}
	if upstream.Drained == edit.Drained {
		return lines, nil
	}
	upstream.Drained = edit.Drained
	if line := lineOfKey(lines, path+".drained"); line != lineOfKey(lines, path) {
		if value := boolPattern.FindStringIndex(lines[line]); value != nil {
			lines[line] = lines[line][:value[0]] + fmt.Sprintf("= %t", edit.Drained) + lines[line][value[1]:]
		}
		return lines, nil
	}
	idLine := lineOfKey(lines, path+".id")
	if idLine < 0 {
		return lines, nil
	}
	added := indentPattern.FindString(lines[idLine]) + "drained = true\n"
	return slices.Insert(terminateLine(lines, idLine), idLine+1, added), nil
}

// terminateLine appends a newline to the line at the given index if it lacks one, which only the last line can.
func terminateLine(lines []string, index int) []string {
	if !strings.HasSuffix(lines[index], "\n") {
		lines[index] += "\n"
	}
	return lines
}

// findUpstream returns the path of an upstream in the document, such as services[0].upstreams[1], and the upstream, or nil.
func findUpstream(doc *document.Document, id fleet.UpstreamID) (string, *document.Upstream) {
	for i := range doc.Services {
		for j := range doc.Services[i].Upstreams {
			if doc.Services[i].Upstreams[j].ID == id {
				return fmt.Sprintf("services[%d].upstreams[%d]", i, j), &doc.Services[i].Upstreams[j]
			}
		}
	}
	return "", nil
}

// applyPin replaces the upstream of an existing pin or appends a new pin. It updates doc like applyDrain.
func applyPin(lines []string, doc *document.Document, edit Pin) ([]string, error) {
	service := doc.FindService(edit.Service)
	if service == nil {
		return nil, &NotFoundError{Kind: "service", Name: string(edit.Service)}
	}
	if _, upstream := findUpstream(doc, edit.Upstream); upstream == nil {
		return nil, &NotFoundError{Kind: "upstream", Name: string(edit.Upstream)}
	}
	if index := findPin(doc, edit.Service, edit.Key); index >= 0 {
		doc.Pins[index].Upstream = edit.Upstream
		line := lineOfKey(lines, fmt.Sprintf("pins[%d].upstream", index))
		text, err := toml.Marshal(map[string]string{"upstream": string(edit.Upstream)})
		if err != nil || line < 0 {
			return lines, errors.Wrap(err, "encode pin")
		}
		lines[line] = indentPattern.FindString(lines[line]) + string(text)
		return lines, nil
	}
	doc.Pins = append(doc.Pins, edit.Pin)
	text, err := toml.Marshal(map[string][]encodedPin{
		"pins": {{Service: string(edit.Service), Key: edit.Key, Upstream: string(edit.Upstream)}},
	})
	return append(terminateLine(lines, len(lines)-1), string(text)), errors.Wrap(err, "encode pin")
}

// encodedPin is the TOML encoding of a pin.
type encodedPin struct {
	Service  string `toml:"service"`
	Key      string `toml:"key"`
	Upstream string `toml:"upstream"`
}

// applyUnpin deletes the lines of a pin. It updates doc like applyDrain.
func applyUnpin(lines []string, doc *document.Document, edit Unpin) ([]string, error) {
	index := findPin(doc, edit.Service, edit.Key)
	if index < 0 {
		return nil, &NotFoundError{Kind: "pin", Name: fmt.Sprintf("of key %q of %s", edit.Key, edit.Service)}
	}
	doc.Pins = slices.Delete(doc.Pins, index, index+1)
	if len(doc.Pins) == 0 {
		doc.Pins = nil // Parse returns nil for a document without pins, and ApplyEdit compares with its result
	}
	path := fmt.Sprintf("pins[%d]", index)
	first, last := lineOfKey(lines, path), -1
	for _, key := range []string{".service", ".key", ".upstream"} {
		last = max(last, lineOfKey(lines, path+key))
	}
	if first < 0 {
		return lines, nil
	}
	return slices.Delete(lines, first, last+1), nil
}

// findPin returns the index of the pin of a key, or -1.
func findPin(doc *document.Document, service fleet.ServiceName, key string) int {
	return slices.IndexFunc(doc.Pins, func(pin document.Pin) bool {
		return pin.Service == service && pin.Key == key
	})
}
