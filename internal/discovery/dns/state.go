package dns

// State holds the serial of the list in force. It does no I/O and is not safe for concurrent use.
type State struct {
	Serial uint32 // 0 if there is no list yet
}

// Advance reports whether a response with the given serial is newer than the list in force, and if
// so records its serial. An older response comes from a replica that lags behind or was delayed in
// the network. A response with the same serial changes nothing. Serials are compared with the
// arithmetic of RFC 1982, so they may wrap around.
func (s *State) Advance(serial uint32) bool {
	if s.Serial != 0 && int32(serial-s.Serial) <= 0 {
		return false
	}
	s.Serial = serial
	return true
}
