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

// Edit is a change of one element of a document. It is one of Drain, Pin and Unpin.
type Edit interface {
	edit()
}

// Drain sets whether an upstream is drained.
type Drain struct {
	Upstream fleet.UpstreamID
	Drained  bool
}

// Pin keeps a key on one server, in place of an earlier pin of the key.
type Pin struct{ document.Pin }

// Unpin ends the pin of a key.
type Unpin struct {
	Service fleet.ServiceName
	Key     string
}

func (Drain) edit() {}
func (Pin) edit()   {}
func (Unpin) edit() {}

// Rewrite applies an edit to the text of a document and leaves the rest of it, comments included, as it is. It returns
// the text unchanged if the document already is as the edit wants it. The result is parsed and compared with the
// intended document, so that a text in a form that the edit does not understand gives an InvalidError and no damage.
func ApplyEdit(text string, edit Edit) (string, error) {
	doc, err := Parse(documentName, text)
	if err != nil {
		return "", err
	}
	lines := strings.SplitAfter(text, "\n")
	var rewritten []string
	switch edit := edit.(type) {
	case Drain:
		rewritten, err = drain(lines, doc, edit)
	case Pin:
		rewritten, err = pin(lines, doc, edit)
	case Unpin:
		rewritten, err = unpin(lines, doc, edit)
	default:
		err = errors.AssertionFailedf("unknown edit %T", edit)
	}
	if err != nil {
		return "", err
	}
	result := strings.Join(rewritten, "")
	got, err := Parse(documentName, result)
	if err != nil || !reflect.DeepEqual(got, doc) {
		return "", &InvalidError{Err: errors.New("the document's form does not allow this edit; apply a changed document")}
	}
	return result, nil
}

// lineOf returns the index of the line on which a key is set, or of the nearest table around it, or -1.
func lineOf(lines []string, key string) int {
	return tomlfile.Invalid("", []byte(strings.Join(lines, "")), key, "").Line - 1
}

var (
	boolean = regexp.MustCompile(`=\s*(true|false)`)
	indent  = regexp.MustCompile(`^[ \t]*`)
)

// drain changes the lines, and doc to the document that they are to give.
func drain(lines []string, doc *document.Document, edit Drain) ([]string, error) {
	path, upstream := findUpstream(doc, edit.Upstream)
	if upstream == nil {
		return nil, &NotFoundError{Kind: "upstream", Name: string(edit.Upstream)}
	}
	if upstream.Drained == edit.Drained {
		return lines, nil
	}
	upstream.Drained = edit.Drained
	if line := lineOf(lines, path+".drained"); line != lineOf(lines, path) {
		if value := boolean.FindStringIndex(lines[line]); value != nil {
			lines[line] = lines[line][:value[0]] + fmt.Sprintf("= %t", edit.Drained) + lines[line][value[1]:]
		}
		return lines, nil
	}
	at := lineOf(lines, path+".id")
	if at < 0 {
		return lines, nil
	}
	added := indent.FindString(lines[at]) + "drained = true\n"
	return slices.Insert(endLine(lines, at), at+1, added), nil
}

// endLine gives the line an end if it is the last one and has none.
func endLine(lines []string, at int) []string {
	if !strings.HasSuffix(lines[at], "\n") {
		lines[at] += "\n"
	}
	return lines
}

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

func pin(lines []string, doc *document.Document, edit Pin) ([]string, error) {
	service := doc.FindService(edit.Service)
	if service == nil {
		return nil, &NotFoundError{Kind: "service", Name: string(edit.Service)}
	}
	if _, upstream := findUpstream(doc, edit.Upstream); upstream == nil {
		return nil, &NotFoundError{Kind: "upstream", Name: string(edit.Upstream)}
	}
	if at := findPin(doc, edit.Service, edit.Key); at >= 0 {
		doc.Pins[at].Upstream = edit.Upstream
		line := lineOf(lines, fmt.Sprintf("pins[%d].upstream", at))
		text, err := toml.Marshal(map[string]string{"upstream": string(edit.Upstream)})
		if err != nil || line < 0 {
			return lines, errors.Wrap(err, "encode pin")
		}
		lines[line] = indent.FindString(lines[line]) + string(text)
		return lines, nil
	}
	doc.Pins = append(doc.Pins, edit.Pin)
	text, err := toml.Marshal(map[string][]pinText{
		"pins": {{Service: string(edit.Service), Key: edit.Key, Upstream: string(edit.Upstream)}},
	})
	return append(endLine(lines, len(lines)-1), string(text)), errors.Wrap(err, "encode pin")
}

// pinText is the form of a pin in a document.
type pinText struct {
	Service  string `toml:"service"`
	Key      string `toml:"key"`
	Upstream string `toml:"upstream"`
}

func unpin(lines []string, doc *document.Document, edit Unpin) ([]string, error) {
	at := findPin(doc, edit.Service, edit.Key)
	if at < 0 {
		return nil, &NotFoundError{Kind: "pin", Name: fmt.Sprintf("of key %q of %s", edit.Key, edit.Service)}
	}
	doc.Pins = slices.Delete(doc.Pins, at, at+1)
	if len(doc.Pins) == 0 {
		doc.Pins = nil // as Parse leaves it
	}
	path := fmt.Sprintf("pins[%d]", at)
	first, last := lineOf(lines, path), -1
	for _, key := range []string{".service", ".key", ".upstream"} {
		last = max(last, lineOf(lines, path+key))
	}
	if first < 0 {
		return lines, nil
	}
	return slices.Delete(lines, first, last+1), nil
}

func findPin(doc *document.Document, service fleet.ServiceName, key string) int {
	return slices.IndexFunc(doc.Pins, func(pin document.Pin) bool {
		return pin.Service == service && pin.Key == key
	})
}
