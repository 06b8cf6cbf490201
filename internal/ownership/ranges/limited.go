package ranges

import "math"

// loadPerRate is the load, as Load counts it, of one request a second: the sum of the decayed counts in a steady state.
var loadPerRate = loadHalfLife.Seconds() / math.Ln2

// capLoad returns the load, or that of MaxRate if it is lower. The share of a limited server in the total load may exceed its
// limit if the other servers are overloaded.
func (s *Server) capLoad(load float64) float64 {
	if !s.Limited || s.MaxRate <= 0 {
		return load
	}
	return min(load, s.MaxRate*loadPerRate)
}
