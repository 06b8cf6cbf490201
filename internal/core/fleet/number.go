package fleet

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// KeyNumber is a key of a service whose keys are numbers.
type NumericKey uint16

// LastKey is the highest key number.
const MaxNumericKey NumericKey = 1<<16 - 1

// KeyRange is a contiguous range of key numbers. First is not above Last; both belong to the range.
type KeyRange struct {
	First, Last NumericKey
}

// Has reports whether the key lies in the range.
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

// ParseKeyNumber reads a key number in decimal.
func ParseNumericKey(text string) (NumericKey, error) {
	number, err := strconv.ParseUint(text, 10, 16)
	return NumericKey(number), errors.Wrap(err, "fleet: key number")
}
