package dns

import (
	"math"
	"testing"
)

// Serials wrap around as in RFC 1982, and 0 stands for no list.
func TestAdvanceAcceptsNewerSerialsOnly(t *testing.T) {
	for _, tt := range []struct {
		inForce, serial uint32
		want            bool
	}{
		{5, 5, false},
		{5, 4, false},
		{5, 7, true},
		{7, 6, false},
		{0, 0, true},
		{0, 3e9, true},
		{3, 0, false},
		{math.MaxUint32, 1, true},
		{math.MaxUint32 - 1, math.MaxUint32, true},
		{1, math.MaxUint32, false},
	} {
		state := State{Serial: tt.inForce}
		if got := state.Advance(tt.serial); got != tt.want {
			t.Errorf("%d after %d: %v, want %v", tt.serial, tt.inForce, got, tt.want)
		}
		wantSerial := tt.inForce
		if tt.want {
			wantSerial = tt.serial
		}
		if state.Serial != wantSerial {
			t.Errorf("%d after %d: serial is %d, want %d", tt.serial, tt.inForce, state.Serial, wantSerial)
		}
	}
}
