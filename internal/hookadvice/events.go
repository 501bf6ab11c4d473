package hookadvice

import (
	"time"

	"kitehub/internal/hooklang"
)

// Facts is what advice is checked against. The table calls it from Step.
type Catalog interface {
	// Function returns the memory in MB that a copy takes, and whether the function exists.
	FunctionMemoryMB(name string) (mb float64, ok bool)
	// Tenant reports whether the tenant exists.
	HasTenant(name string) bool
}

// Worker is one worker of the endpoint list.
type Worker struct {
	Name     string
	Ready    bool    // takes calls: it is neither draining nor gone
	MemoryMB float64 // 0: not known
}

// Event is an input of [Table.Step]: AdviceGiven, VersionActivated, ScriptStopped or WorkerList.
type Event interface{ event() }

type (
	// AdviceGiven is the complete advice of one run of a script.
	AdviceGiven struct {
		Script  string
		Version uint64
		Items   []hooklang.Advice
	}
	// VersionActivated says whose advice is accepted from now on. What an earlier version advised stays in force until
	// it expires or is replaced; what that version still advises is discarded.
	VersionActivated struct {
		Script  string
		Version uint64
	}
	// ScriptStopped withdraws all that a script advised, and has its further advice discarded.
	ScriptStopped struct{ Script string }
	// WorkerList is the current list of workers, complete.
	WorkerList struct{ Workers []Worker }
)

func (AdviceGiven) event()      {}
func (VersionActivated) event() {}
func (ScriptStopped) event()    {}
func (WorkerList) event()       {}

// Effect is an output of [Table.Step]: KeepWarm, RankWorker, Tenants, Notice or Discarded.
type Effect interface{ effect() }

type (
	// KeepWarm asks for copies of a function to stay loaded; with Copies 0 no longer.
	KeepWarm struct {
		Function string
		Copies   int
		Until    time.Duration // on the clock that Step is given
	}
	// RankWorker has a worker preferred (1), avoided (-1) or treated as any other (0).
	RankWorker struct {
		Worker string
		Rank   int
		Until  time.Duration // on the clock that Step is given
	}
	// Tenants is what is in force for all tenants; it replaces the previous Tenants. The receiver must not change
	// the map.
	Tenants struct {
		ByName map[string]Tenant `json:"By"`
	}
	// Notice is to be sent to a target that operators have configured.
	Notification struct{ Script, Target, Text string }
	// Discarded reports advice that is not followed, and why, for operators.
	Discarded struct {
		Script string
		Item   hooklang.Advice
		Reason string
	}
)

func (KeepWarm) effect()     {}
func (RankWorker) effect()   {}
func (Tenants) effect()      {}
func (Notification) effect() {}
func (Discarded) effect()    {}

// Tenant is what is in force for one tenant.
type Tenant struct {
	Weight      float64 `json:"Weight"` // multiplies its priority weight while load is shed; 0: as 1
	MaxInFlight int     `json:"Most"`   // calls in flight at most; 0: no limit
}
