package ranges

import (
	"math"
	"time"
)

// firstReportSpan is the shortest time that the reports of a new load are taken to cover: daemons report every 0.3 s.
const firstReportSpan = 300 * time.Millisecond

// perRate returns the load of one request a second: the sum of the decayed counts since the first report. A new assigner has
// collected reports for a short time only.
func (l *Load) perRate() float64 {
	collected := max(l.decayedAt.Sub(l.firstAt), firstReportSpan)
	return loadHalfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-collected.Seconds()/loadHalfLife.Seconds()))
}

// capLoad returns the load of a server, or that of its MaxRate if it is lower. The share of a limited server in the total load
// may exceed its limit if the other servers are overloaded.
func (p *Planner) capLoad(server *Server, load float64) float64 {
	if !server.Limited || server.MaxRate <= 0 {
		return load
	}
	return min(load, server.MaxRate*p.Load.perRate())
}
