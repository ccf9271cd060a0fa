package quota

// Size is an amount of each resource.
type Size struct {
	CPU   int64 // thousandths of a core
	MemMB int64
	GPU   int64
}

// resources returns the amounts as a list.
func (s Size) resources() [3]int64 { return [3]int64{s.CPU, s.MemMB, s.GPU} }

func (s Size) times(n int64) Size { return Size{CPU: n * s.CPU, MemMB: n * s.MemMB, GPU: n * s.GPU} }

// Ledger holds the accounts of all teams. It is not safe for concurrent use.
type Ledger struct{ accounts map[string]*Account }

// New returns a ledger without accounts.
func New() *Ledger { return &Ledger{accounts: map[string]*Account{}} }

// Account returns the team's account, and opens one without a limit if there is none.
func (l *Ledger) Account(team string) *Account {
	a := l.accounts[team]
	if a == nil {
		a = &Account{}
		l.accounts[team] = a
	}
	return a
}

// Set sets the team's limit. A resource whose limit is 0 is not limited.
func (l *Ledger) Set(team string, limit Size) { l.Account(team).limit = limit }

// Account is what one team has running, and its limit.
type Account struct {
	used, limit Size
	runs        int
}

// Add counts one run.
func (a *Account) Add(s Size) { a.add(s, 1) }

// Remove takes one run off that was counted with the same size.
func (a *Account) Remove(s Size) { a.add(s, -1) }

func (a *Account) add(s Size, n int) {
	k := int64(n)
	a.used = Size{CPU: a.used.CPU + k*s.CPU, MemMB: a.used.MemMB + k*s.MemMB, GPU: a.used.GPU + k*s.GPU}
	a.runs += n
}

// Used returns what the counted runs hold.
func (a *Account) Used() Size { return a.used }

// Runs returns the number of counted runs.
func (a *Account) Runs() int { return a.runs }

// Limit returns the team's limit.
func (a *Account) Limit() Size { return a.limit }

// Limited reports whether any resource is limited.
func (a *Account) Limited() bool { return a.limit != Size{} }

// Fits reports whether one more run of the size stays within the limit. A run that is larger than the limit of a resource fits while
// nothing else of the team holds that resource.
func (a *Account) Fits(s Size) bool { return fits(s, a.used, a.limit) }

// FitsBeside reports whether a run of the size would fit if the team had only held running.
func (a *Account) FitsBeside(s, held Size) bool { return fits(s, held, a.limit) }

func fits(s, used, limit Size) bool {
	u, l := used.resources(), limit.resources()
	for i, n := range s.resources() {
		if n > 0 && l[i] > 0 && u[i] > 0 && u[i]+n > l[i] {
			return false
		}
	}
	return true
}

// FitsTogether reports whether n more runs that start together stay within the limit. A single one counts like any other run.
func (a *Account) FitsTogether(s Size, n int) bool {
	return a.FitsTogetherBeside(s, n, a.used)
}

// FitsTogetherBeside reports whether n runs that start together would fit if the team had only held running.
func (a *Account) FitsTogetherBeside(s Size, n int, held Size) bool {
	if n <= 1 {
		return a.FitsBeside(s, held)
	}
	h, l := held.resources(), a.limit.resources()
	for i, k := range s.times(int64(n)).resources() {
		if k > 0 && l[i] > 0 && h[i]+k > l[i] {
			return false
		}
	}
	return true
}

// HalfUsed reports whether at least half of a limited resource is in use.
func (a *Account) HalfUsed() bool {
	return a.limited(a.used, func(u, l int64) bool { return 2*u >= l })
}

// Within reports whether no resource is in use beyond its limit.
func (a *Account) Within() bool { return !a.limited(a.used, func(u, l int64) bool { return u > l }) }

// limited reports whether is holds for any limited resource.
func (a *Account) limited(s Size, is func(n, limit int64) bool) bool {
	l := a.limit.resources()
	for i, n := range s.resources() {
		if l[i] > 0 && is(n, l[i]) {
			return true
		}
	}
	return false
}

// Share returns the share of the limit that the size takes, in the resource that is scarcest for it; 1 for a size beyond the limit and 0
// if nothing is limited that it needs.
func (a *Account) Share(s Size) float64 {
	most := 0.0
	l := a.limit.resources()
	for i, n := range s.resources() {
		if l[i] > 0 {
			most = max(most, min(float64(n)/float64(l[i]), 1))
		}
	}
	return most
}
