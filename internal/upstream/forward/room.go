package forward

// Room is memory for responses that are held until the caller takes them. It must be safe for concurrent use.
type Room interface {
	// Reserve takes room for n bytes. It returns false if there is none.
	Reserve(n int64) bool
	// Release gives up room for n bytes.
	Release(n int64)
}
