package forward

// Body is the body of a request. It holds the content in blocks, which are not changed once the request is sent. It is written
// from these blocks, and may be sent again.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() int64 {
	var length int64
	for _, block := range b {
		length += int64(len(block))
	}
	return length
}

// take moves up to limit bytes of the body to the end of p. It returns p and the rest of the body.
func (b Body) take(p []byte, limit int) ([]byte, Body) {
	for i, block := range b {
		if len(block) > limit {
			rest := append(Body{block[limit:]}, b[i+1:]...)
			return append(p, block[:limit]...), rest
		}
		p, limit = append(p, block...), limit-len(block)
	}
	return p, nil
}
