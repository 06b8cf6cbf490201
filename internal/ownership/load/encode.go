package load

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
)

// ErrMalformed means that bytes are not an encoded report.
var ErrMalformed = errors.New("load: malformed report")

const (
	// milli is the unit of the rates in a message, in requests a second.
	milli = 1000
	// maxRate bounds what a report may claim, so that a sum stays finite.
	maxRate = 1e9
)

// Encode returns the bytes of a report.
func Encode(service fleet.ServiceName, report Report) ([]byte, error) {
	message := &LoadReport{Service: string(service), Rest: toMilli(report.RemainingLoad), Requests: uint64(max(report.Requests, 0))}
	for _, rate := range report.Partitions {
		message.Partitions = append(message.Partitions, uint32(rate.Partition))
		message.Rates = append(message.Rates, toMilli(rate.PerSecond))
	}
	for _, count := range report.Keys {
		message.Keys = append(message.Keys, uint64(count.Key))
		message.KeyRates = append(message.KeyRates, toMilli(count.Weight))
		message.KeyErrors = append(message.KeyErrors, toMilli(count.Error))
	}
	content, err := proto.Marshal(message)
	return content, errors.Wrap(err, "load: encode report")
}

// Decode returns the report in content and the service that it is about.
func Decode(content []byte) (fleet.ServiceName, Report, error) {
	message := &LoadReport{}
	if err := proto.Unmarshal(content, message); err != nil {
		return "", Report{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if len(message.Rates) != len(message.Partitions) || len(message.Partitions) > maxPartitions ||
		len(message.Keys) > maxKeys || len(message.KeyRates) != len(message.Keys) ||
		len(message.KeyErrors) != len(message.Keys) {
		return "", Report{}, errors.Wrap(ErrMalformed, "lists of different or excessive length")
	}
	report := Report{RemainingLoad: fromMilli(message.Rest), Requests: min(float64(message.Requests), maxRate)}
	for i, partition := range message.Partitions {
		report.Partitions = append(report.Partitions, Rate{
			Partition: fleet.PartitionID(partition), PerSecond: fromMilli(message.Rates[i]),
		})
	}
	for i, key := range message.Keys {
		report.Keys = append(report.Keys, hotkeys.Count{
			Key: fleet.KeyHash(key), Weight: fromMilli(message.KeyRates[i]), Error: fromMilli(message.KeyErrors[i]),
		})
	}
	return fleet.ServiceName(message.Service), report, nil
}

func toMilli(rate float64) uint64 {
	return uint64(math.Round(max(rate, 0) * milli))
}

func fromMilli(value uint64) float64 {
	return min(float64(value)/milli, maxRate)
}
