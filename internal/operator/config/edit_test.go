package config_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	core "rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

const pinned = `
[[pins]]
service = "catalogue"
key = "18-de-julio"
upstream = "catalogue-01"
# kept comment
`

// Guards against edits that damage the rest of the operators' text.
func TestRewrite(t *testing.T) {
	for _, test := range []struct {
		name, text   string
		edit         config.Edit
		old, changed string
	}{
		{
			"drain", document,
			config.Drain{Upstream: "catalogue-01", Drained: true},
			"# the oldest\n", "# the oldest\ndrained = true\n",
		},
		{
			"undrain", document,
			config.Drain{Upstream: "catalogue-02"},
			"drained = true # since", "drained = false # since",
		},
		{"drained already", document, config.Drain{Upstream: "catalogue-02", Drained: true}, "", ""},
		{
			"pin", document,
			config.Pin{Pin: core.Pin{Service: "catalogue", Key: "a\"b\x01'", Upstream: "catalogue-01"}},
			"share = 3\n", "share = 3\n\n[[pins]]\nservice = 'catalogue'\nkey = \"a\\\"b\\u0001'\"\nupstream = 'catalogue-01'\n",
		},
		{
			"move a pin", document + pinned,
			config.Pin{
				Pin: core.Pin{Service: "catalogue", Key: "18-de-julio", Upstream: "catalogue-02"},
			},
			"upstream = \"catalogue-01\"", "upstream = 'catalogue-02'",
		},
		{
			"unpin", document + pinned,
			config.Unpin{Service: "catalogue", Key: "18-de-julio"},
			strings.TrimSuffix(pinned, "# kept comment\n"), "\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, err := config.ApplyEdit(test.text, test.edit)
			is.NoErr(err)
			is.Equal(got, strings.Replace(test.text, test.old, test.changed, 1))
		})
	}
}

// Guards against edits that are accepted although the document has no such element or cannot be edited in place.
func TestRewriteRefusals(t *testing.T) {
	inline := `tenants = []
[[services]]
name = "catalogue"
key = "path:2"
upstreams = [{id = "a", address = "127.0.0.1:1", region = "r", domain = "d"}]
`
	for _, test := range []struct {
		name, text string
		edit       config.Edit
		missing    string
	}{
		{"unknown upstream", document, config.Drain{Upstream: "x", Drained: true}, "upstream x"},
		{"pin on an unknown upstream", document, config.Pin{Pin: core.Pin{Service: "catalogue", Key: "k", Upstream: "x"}}, "upstream x"},
		{"pin in an unknown service", document, config.Pin{Pin: core.Pin{Service: "x", Key: "k"}}, "service x"},
		{"unknown pin", document + pinned, config.Unpin{Service: "catalogue", Key: "k"}, "pin of key \"k\" of catalogue"},
		{"inline table", inline, config.Drain{Upstream: "a", Drained: true}, ""},
		{
			"inline pin", "pins = [{service = \"catalogue\", key = \"k\", upstream = \"catalogue-01\"}]\n" + document,
			config.Unpin{Service: "catalogue", Key: "k"},
			"",
		},
		{"empty key", document, config.Pin{Pin: core.Pin{Service: "catalogue", Upstream: "catalogue-01"}}, ""},
		{"invalid document", "x", config.Drain{}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.ApplyEdit(test.text, test.edit)
			var invalid *config.InvalidError
			var missing *config.NotFoundError
			if test.missing == "" {
				is.True(errors.As(err, &invalid))
				return
			}
			is.True(errors.As(err, &missing))
			is.Equal(missing.Error(), "no "+test.missing)
		})
	}
}

// Guards against documents that make the parser or an edit panic, and against an edit that changes more than its element.
func FuzzDocument(f *testing.F) {
	f.Add(document)
	f.Add(document + pinned)
	f.Add("services = [{name = 'a'}]")
	f.Add("[[services]]\nname = \"a\"\nkey = \"path:1\"\n[[services.upstreams]]\nid='b'\naddress='[::1]:1'\nregion='r'\ndomain='d'")
	f.Add("[[pins]]\n[pins.x]\n\"\" = '''\n[[pins]]'''")
	f.Fuzz(func(t *testing.T, text string) {
		before, err := config.Parse("fuzz", text)
		if err != nil {
			return
		}
		for i := range before.Services {
			for j := range before.Services[i].Upstreams {
				upstream := &before.Services[i].Upstreams[j]
				upstream.Drained = !upstream.Drained // the document that the edit is to give
				rewritten, err := config.ApplyEdit(text, config.Drain{Upstream: upstream.ID, Drained: upstream.Drained})
				if err == nil {
					after, err := config.Parse("fuzz", rewritten)
					if err != nil || !reflect.DeepEqual(after, before) {
						t.Fatalf("draining %s changed more than that: %v\n%s", upstream.ID, err, rewritten)
					}
				}
				upstream.Drained = !upstream.Drained
			}
		}
	})
}
