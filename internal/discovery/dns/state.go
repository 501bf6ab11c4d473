package dns

// State is the version of the list in force. It does no input or output, and is not safe for concurrent use.
type State struct {
	Serial uint32 // 0: there is no list yet
}

// Advance reports whether an answer with this serial is newer than the list in force, and if so makes it the one in
// force. An older one comes from a replica that lags behind, or was overtaken on its way; one with the same serial
// changes nothing. Serials are compared as a zone's are (RFC 1982), so they may wrap around.
func (s *State) Advance(serial uint32) bool {
	if s.Serial != 0 && int32(serial-s.Serial) <= 0 {
		return false
	}
	s.Serial = serial
	return true
}
