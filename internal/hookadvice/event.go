package hookadvice

import (
	"time"

	"kitehub/internal/hooklang"
)

// A Worker is one of the list.
type Worker struct {
	Name     string
	Ready    bool
	MemoryMB float64 // 0: not known
}

// An Event is one of Offered, Live, Ended and Workers.
type Event interface{ event() }

type (
	// Offered is all that one run of a script advises.
	Offered struct {
		Script  string
		Version uint64
		Items   []hooklang.Advice
	}
	// Live says whose advice is followed from now on: that of this version of a script. What an earlier version
	// advised holds until it expires or is replaced; what it still advises is discarded.
	Live struct {
		Script  string
		Version uint64
	}
	// Ended says that a script's advice is followed no more: all that it advised is withdrawn.
	Ended struct{ Script string }
	// Workers is the present list.
	Workers struct{ List []Worker }
)

func (Offered) event() {}
func (Live) event()    {}
func (Ended) event()   {}
func (Workers) event() {}

// An Effect is one of KeepWarm, RankWorker, Tenants, Notice and Discarded.
type Effect interface{ effect() }

type (
	// KeepWarm has copies of a function kept loaded; Copies 0: no longer.
	KeepWarm struct {
		Function string
		Copies   int
		Until    time.Duration // by the caller's clock
	}
	// RankWorker has a worker preferred (1), avoided (-1) or treated as any other (0).
	RankWorker struct {
		Worker string
		Rank   int
		Until  time.Duration // by the caller's clock
	}
	// Tenants is all that holds for tenants now. It must not be changed.
	Tenants struct {
		By map[string]Tenant `json:"By"` // by name
	}
	// Notice is a message to send to a target.
	Notice struct{ Script, Target, Text string }
	// Discarded says, for operators, what advice is not followed, and why.
	Discarded struct {
		Script string
		Item   hooklang.Advice
		Why    string
	}
)

func (KeepWarm) effect()   {}
func (RankWorker) effect() {}
func (Tenants) effect()    {}
func (Notice) effect()     {}
func (Discarded) effect()  {}

// A Tenant is what holds for one tenant.
type Tenant struct {
	Weight       float64 `json:"Weight"` // priority where not all calls are admitted; 0: 1
	MaxOpenCalls int     `json:"Most"`   // calls in flight, at most; 0: any number
}
