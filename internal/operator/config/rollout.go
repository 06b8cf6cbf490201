package config

import "rosemarywick.example/rosemarywick/internal/core/fleet"

// HostVersion is the configuration version that one live daemon reports.
type HostVersion struct {
	Host fleet.HostID
	// Version is the version in force on the host.
	Version uint64
	// Rejection is the reason why the host rejected a newer version, or empty.
	Rejection string
}

// RolloutProgress counts the live hosts on which a version, or a higher one, is in force.
type RolloutProgress struct {
	Version   uint64
	LiveHosts int
	InForce   int
	// Behind lists the live hosts on which a lower version is in force.
	Behind []HostVersion
}

// MeasureRollout computes the rollout progress of a version from the versions that all live hosts report.
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

// Complete reports whether the version is in force on every live host. It is false if there is no live host.
func (p *RolloutProgress) Complete() bool {
	return p.LiveHosts > 0 && p.InForce == p.LiveHosts
}
