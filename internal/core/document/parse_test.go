package document_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/document"
)

const valid = `[[services]]
name = "catalogue"
key = "path:2"
partitions = 512
timeout = "750ms"

[[services.upstreams]]
id = "catalogue-01"
address = "127.0.0.1:9101"
region = "montevideo"
domain = "centro"

[[services.routes]]
method = "POST"
path = "/plans/{id}/push"
delivery = "at-most-once"

[[tenants]]
name = "technicians"
share = 3

[[pins]]
service = "catalogue"
key = "18-de-julio"
upstream = "catalogue-01"
`

// Guards against values that are lost or changed between the text and the document.
func TestParse(t *testing.T) {
	is := is.New(t)
	doc, err := document.Parse("c.toml", []byte(valid))
	is.NoErr(err)
	service := doc.FindService("catalogue")
	is.Equal(service.Key, document.KeyPath{Segment: 2})
	is.Equal(service.Partitions, 512)
	is.Equal(service.Timeout, 750*time.Millisecond)
	is.Equal(service.Routes[0].Delivery, document.AtMostOnce)
	is.Equal(doc.Tenants[0].Share, 3)
	is.Equal(doc.Pins[0].Key, "18-de-julio")
}

// Guards against accepting an invalid document, which would take effect on all daemons.
func TestParseErrors(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "partitions", "partition", "c.toml:4: services.partition: unknown key"},
		{"key source", "path:2", "path:0", "c.toml:3: services.key: expected \"header:NAME\""},
		{"too many partitions", "512", "70000", "c.toml:4: services[0].partitions: expected a number from 1 to 65536"},
		{"host name as address", "127.0.0.1:9101", "a.example:1", "c.toml:9: "},
		{"unknown delivery", "\"at-most-once\"", "\"twice\"", "c.toml:16: "},
		{"pin of an unknown upstream", "upstream = \"catalogue-01\"", "upstream = \"x\"", "c.toml:25: pins[0].upstream: "},
		{"share of zero", "share = 3", "share = 0", "c.toml:20: tenants[0].share: expected a number from 1 to 1000"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := document.Parse("c.toml", []byte(strings.Replace(valid, test.old, test.replacement, 1)))
			is.True(err != nil) // an invalid document is rejected
			if !strings.HasPrefix(err.Error(), test.want) {
				t.Fatalf("got %q, want prefix %q", err, test.want)
			}
		})
	}
}

// Guards against two upstreams with the same name, of which one would hide the other.
func TestParseDuplicate(t *testing.T) {
	is := is.New(t)
	_, err := document.Parse("c.toml", []byte(valid+valid))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "declared twice"))
}
