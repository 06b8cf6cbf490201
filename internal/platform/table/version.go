package table

// Version orders the writes to the store. A row that does not exist has version zero. A store that comes back from an older copy
// gives its numbers out again, so the era goes before the number.
type Version uint64

// Era counts how often the store came back from an older copy. It never decreases. A store that does not tell stays in era zero.
type Era uint32

const (
	numberBits = 44
	// MaxNumber is the highest number of a version.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the highest era.
	MaxEra = 1<<(64-numberBits) - 1
)

// NewVersion returns the version with a number that the store gave out in an era. Neither may exceed its maximum.
func NewVersion(era Era, number uint64) Version {
	return Version(uint64(era)<<numberBits | number)
}

// Era returns the era in which the version was given out or read.
func (v Version) Era() Era { return Era(v >> numberBits) }

// Number returns the store's own number.
func (v Version) Number() uint64 { return uint64(v) & MaxNumber }
