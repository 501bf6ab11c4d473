package overload

import (
	"sync"
	"sync/atomic"
)

// A Budget bounds the bytes that all clients together make the process hold. Half of it is shared
// evenly: each client may always hold its part of that. The other half goes to those who need more, by
// dynamic thresholds as in switches that share a packet buffer (Choudhury and Hahne, 1998): a client
// may hold as much of it as nobody holds, so one alone gets half, and each of several less. It is safe
// for concurrent use.
type Budget struct {
	Denied atomic.Int64 // reservations that were denied

	guaranteed int64 // bytes that each client may hold in any case
	limit      int64 // bytes of the part for those who need more

	mu   sync.Mutex
	used int64 // bytes of that part
	held int64 // bytes of all clients
}

// NewBudget returns a budget of a number of bytes for at most a number of clients at a time.
func NewBudget(bytes int64, clients int) *Budget {
	return &Budget{guaranteed: bytes / 2 / int64(max(1, clients)), limit: bytes / 2}
}

// An Account has the bytes that one client makes the process hold. It is safe for concurrent use.
type Account struct {
	budget *Budget
	held   int64 // guarded by budget.mu
}

// NewAccount returns an empty account.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Held returns how many bytes all clients hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// beyond returns how many bytes of the part for those who need more a client takes.
func (b *Budget) beyond(held int64) int64 { return max(0, held-b.guaranteed) }

// Reserve reserves bytes before they are allocated. It returns false if the client would hold more
// than it may now.
func (a *Account) Reserve(bytes int) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	beyond := b.beyond(a.held + int64(bytes))
	if beyond > 0 && beyond > b.limit-b.used {
		b.Denied.Add(1)
		return false
	}
	b.set(a, a.held+int64(bytes))
	return true
}

// Release returns reserved bytes.
func (a *Account) Release(bytes int) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(a, a.held-int64(bytes))
}

// set sets what a client holds. The caller holds mu.
func (b *Budget) set(a *Account, held int64) {
	b.used += b.beyond(held) - b.beyond(a.held)
	b.held += held - a.held
	a.held = held
}
