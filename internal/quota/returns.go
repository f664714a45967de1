package quota

// ticket identifies what an admitted request was taken from, so that its return credits
// only that.
type ticket struct {
	// report is the number of the report that counts the request.
	report uint64
	// binding is the binding whose tokens the request used, 0 for none.
	binding uint64
}

// reportHistory is what a daemon knows of the reports of one workspace.
type reportHistory struct {
	// next is the number of the next report.
	next uint64
	// creditable is the first report that the current home has counted. Returns of
	// requests in earlier reports are not credited.
	creditable uint64
	// omitted counts the requests that report creditable left out.
	omitted int
}

// homeChanged records that what was reported is unknown to the current home.
func (r *reportHistory) homeChanged() { r.creditable, r.omitted = r.next, 0 }

// sent records a report that left out some requests. Earlier reports are then no longer
// credited: calls that span two reports are few, and a missing credit admits nothing.
func (r *reportHistory) sent(omitted int) {
	if omitted > 0 {
		r.creditable, r.omitted = r.next, omitted
	}
	r.next++
}

// credits reports whether the return of a request of a report lowers the count of the home.
func (r *reportHistory) credits(report uint64) bool {
	switch {
	case report < r.creditable:
		return false
	case report == r.creditable && report < r.next && r.omitted > 0:
		r.omitted--
		return false
	}
	return true
}

// ticket returns the ticket of the request that was admitted last.
func (a *account) ticket() ticket {
	t := ticket{report: a.reports.next}
	if a.bound {
		t.binding = a.binding
	}
	return t
}

// GiveBack returns an admitted request that has not run.
func (l *Limiter) GiveBack(a *account, t ticket) {
	if l.accounts[a.name] != a {
		return
	}
	a.used = max(0, a.used-1/usedTime.Seconds())
	a.whole = min(a.whole+1, max(a.limit.Burst, 1))
	if a.bound && t.binding == a.binding {
		a.tokens++
	}
	if a.reports.credits(t.report) {
		a.pending--
		l.link(a.home).dirty[a.name] = a
	}
}
