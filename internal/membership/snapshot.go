package membership

import "limeladder/internal/config"

// Snapshot is a complete endpoint list together with the numbering that its version belongs to. Its JSON form is that
// of a list from discovery; Replaces is omitted while it is 0, and programs that don't know it ignore it.
type Snapshot struct {
	config.EndpointList

	// Replaces is the highest version of the numbering that came before: each discovery service counts its versions
	// itself, so they may begin anew when a router moves to another one. 0 means that they never did.
	Replaces int64 `json:"replaces,omitempty"`
}

// NewerThan reports whether s is known to be newer than other. Without endpoints, a list is older than any other.
//
// The versions are compared unless they belong to different numberings and only one of the lists replaces the numbering
// of the other. Of two lists with the same version neither is newer.
func (s Snapshot) NewerThan(other Snapshot) bool {
	if len(s.Endpoints) == 0 || len(other.Endpoints) == 0 {
		return len(s.Endpoints) > 0
	}
	replaces := s.replacesNumberingOf(other)
	if replaces != other.replacesNumberingOf(s) {
		return replaces
	}
	return s.Version > other.Version
}

// replacesNumberingOf reports whether the numbering of s began anew after the version of other.
func (s Snapshot) replacesNumberingOf(other Snapshot) bool {
	return s.Replaces > 0 && s.Replaces >= other.Version
}
