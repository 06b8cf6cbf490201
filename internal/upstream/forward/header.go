package forward

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// Strip returns a copy of the header without the headers that concern one connection only.
func Strip(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		return http.Header{}
	}
	for _, line := range result["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		result.Del(name)
	}
	return result
}
