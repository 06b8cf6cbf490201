package fleet

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// NumericKey is a key of a service whose keys are numbers.
type NumericKey uint16

// MaxNumericKey is the highest numeric key.
const MaxNumericKey NumericKey = 1<<16 - 1

// KeyRange is a contiguous range of numeric keys. It includes First and Last, and First is not greater than Last.
type KeyRange struct {
	First, Last NumericKey
}

// Contains reports whether the key is in the range.
func (r KeyRange) Contains(key NumericKey) bool {
	return r.First <= key && key <= r.Last
}

// Overlaps reports whether the ranges have a key in common.
func (r KeyRange) Overlaps(other KeyRange) bool {
	return r.First <= other.Last && other.First <= r.Last
}

// Size returns the number of keys in the range.
func (r KeyRange) Size() int {
	return int(r.Last) - int(r.First) + 1
}

// String returns the range as "first-last".
func (r KeyRange) String() string {
	return strconv.Itoa(int(r.First)) + "-" + strconv.Itoa(int(r.Last))
}

// ParseNumericKey parses a decimal numeric key.
func ParseNumericKey(text string) (NumericKey, error) {
	number, err := strconv.ParseUint(text, 10, 16)
	return NumericKey(number), errors.Wrap(err, "fleet: parse numeric key")
}
