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

const pinSection = `
[[pins]]
service = "catalogue"
key = "18-de-julio"
upstream = "catalogue-01"
# kept comment
`

// Guards against edits that change other parts of the document, such as comments.
func TestApplyEdit(t *testing.T) {
	for _, test := range []struct {
		name, text       string
		edit             config.Edit
		old, replacement string
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
		{"already drained", document, config.Drain{Upstream: "catalogue-02", Drained: true}, "", ""},
		{
			"pin", document,
			config.Pin{Pin: core.Pin{Service: "catalogue", Key: "a\"b\x01'", Upstream: "catalogue-01"}},
			"share = 3\n", "share = 3\n\n[[pins]]\nservice = 'catalogue'\nkey = \"a\\\"b\\u0001'\"\nupstream = 'catalogue-01'\n",
		},
		{
			"replace a pin", document + pinSection,
			config.Pin{
				Pin: core.Pin{Service: "catalogue", Key: "18-de-julio", Upstream: "catalogue-02"},
			},
			"upstream = \"catalogue-01\"", "upstream = 'catalogue-02'",
		},
		{
			"unpin", document + pinSection,
			config.Unpin{Service: "catalogue", Key: "18-de-julio"},
			strings.TrimSuffix(pinSection, "# kept comment\n"), "\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, err := config.ApplyEdit(test.text, test.edit)
			is.NoErr(err)
			is.Equal(got, strings.Replace(test.text, test.old, test.replacement, 1))
		})
	}
}

// Guards against accepting an edit whose element does not exist, or of a document whose syntax does not allow the edit.
func TestApplyEditRejects(t *testing.T) {
	inline := `tenants = []
[[services]]
name = "catalogue"
key = "path:2"
upstreams = [{id = "a", address = "127.0.0.1:1", region = "r", domain = "d"}]
`
	for _, test := range []struct {
		name, text string
		edit       config.Edit
		notFound   string
	}{
		{"unknown upstream", document, config.Drain{Upstream: "x", Drained: true}, "upstream x"},
		{
			"pin on an unknown upstream", document,
			config.Pin{Pin: core.Pin{Service: "catalogue", Key: "k", Upstream: "x"}},
			"upstream x",
		},
		{"pin in an unknown service", document, config.Pin{Pin: core.Pin{Service: "x", Key: "k"}}, "service x"},
		{"unknown pin", document + pinSection, config.Unpin{Service: "catalogue", Key: "k"}, "pin of key \"k\" of catalogue"},
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
			var notFound *config.NotFoundError
			if test.notFound == "" {
				is.True(errors.As(err, &invalid))
				return
			}
			is.True(errors.As(err, &notFound))
			is.Equal(notFound.Error(), "no "+test.notFound)
		})
	}
}

// Guards against documents that make the parser or an edit panic, and against a drain that changes more than its upstream.
func FuzzDocument(f *testing.F) {
	f.Add(document)
	f.Add(document + pinSection)
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
				upstream.Drained = !upstream.Drained // the expected result of the edit
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
