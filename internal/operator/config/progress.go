package config

import "rosemarywick.example/rosemarywick/internal/core/fleet"

// HostVersion is what one live daemon reports about its configuration.
type HostVersion struct {
	Host fleet.HostID
	// Version is in force on the host.
	Version uint64
	// Rejection says why the host could not apply a newer version. It is empty if there is none.
	Rejection string
}

// Progress says on how many live daemons a version, or a higher one, is in force.
type RolloutProgress struct {
	Version   uint64
	LiveHosts int
	InForce   int
	// Behind are the live hosts that do not have the version in force.
	Behind []HostVersion
}

// Measure counts the live hosts that have the version in force.
func MeasureRollout(version uint64, live []HostVersion) RolloutProgress {
	progress := RolloutProgress{Version: version, LiveHosts: len(live)}
	for _, host := range live {
		if host.Version >= version {
			progress.InForce++
		} else {
			progress.Behind = append(progress.Behind, host)
		}
	}
	return progress
}

// Everywhere reports whether the version is in force on every live daemon. Without any daemon it is in force nowhere.
func (p *RolloutProgress) Complete() bool {
	return p.LiveHosts > 0 && p.InForce == p.LiveHosts
}
