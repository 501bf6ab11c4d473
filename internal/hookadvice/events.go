package hookadvice

import (
	"time"

	"kitehub/internal/hooklang"
)

// Catalog provides the functions and tenants that advice may name. [Table.Step] calls its methods.
type Catalog interface {
	// FunctionMemoryMB returns the memory in MB that a copy takes, and whether the function exists.
	FunctionMemoryMB(name string) (mb float64, ok bool)
	// HasTenant reports whether the tenant exists.
	HasTenant(name string) bool
}

// Worker is one worker of the endpoint list.
type Worker struct {
	Name     string
	Ready    bool    // accepts requests: neither draining nor gone
	MemoryMB float64 // 0 if unknown
}

// Event is an input of [Table.Step]: AdviceGiven, VersionActivated, ScriptStopped or WorkerList.
type Event interface{ event() }

type (
	// AdviceGiven holds all the advice of one run of a script.
	AdviceGiven struct {
		Script  string
		Version uint64
		Items   []hooklang.Advice
	}
	// VersionActivated makes Version the one whose advice is accepted. Advice that an earlier
	// version gave stays in force until it expires or is replaced; further advice from it is
	// discarded.
	VersionActivated struct {
		Script  string
		Version uint64
	}
	// ScriptStopped withdraws all advice of a script. Further advice from it is discarded.
	ScriptStopped struct{ Script string }
	// WorkerList replaces the list of workers.
	WorkerList struct{ Workers []Worker }
)

func (AdviceGiven) event()      {}
func (VersionActivated) event() {}
func (ScriptStopped) event()    {}
func (WorkerList) event()       {}

// Effect is an output of [Table.Step]: KeepWarm, RankWorker, Tenants, Notification or Discarded.
type Effect interface{ effect() }

type (
	// KeepWarm asks for copies of a function to stay loaded. Copies is 0 if none need to any more.
	KeepWarm struct {
		Function string
		Copies   int
		Until    time.Duration // on the clock of Step
	}
	// RankWorker marks a worker as preferred (1), avoided (-1) or neither (0).
	RankWorker struct {
		Worker string
		Rank   int
		Until  time.Duration // on the clock of Step
	}
	// Tenants holds the advice in force for all tenants and replaces the previous Tenants. The
	// receiver must not change the map.
	Tenants struct {
		ByName map[string]Tenant `json:"By"`
	}
	// Notification is a message for a target that operators have configured.
	Notification struct{ Script, Target, Text string }
	// Discarded reports advice that was not accepted, and the reason, for operators.
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

// Tenant is the advice in force for one tenant.
type Tenant struct {
	Weight      float64 `json:"Weight"` // factor on the priority weight while load is shed; 0 means 1
	MaxInFlight int     `json:"Most"`   // limit on calls in flight; 0 means none
}
