package publish

import "slices"

// verdictList holds the last MaxRetainedVerdicts verdicts, oldest first, indexed by
// publication id.
type verdictList struct {
	retained []retainedVerdict
	ids      map[string]Verdict
}

// retainedVerdict is a verdict with its digest.
type retainedVerdict struct {
	verdict Verdict
	digest  itemDigest
}

func (l *verdictList) add(verdict Verdict) {
	if l.ids == nil {
		l.ids = map[string]Verdict{}
	}
	l.retained = append(l.retained, retainedVerdict{verdict: verdict, digest: digestVerdict(verdict)})
	if verdict.ID != "" {
		l.ids[verdict.ID] = verdict
	}
	for len(l.retained) > MaxRetainedVerdicts {
		l.evictOldest()
	}
}

func (l *verdictList) evictOldest() {
	oldest := l.retained[0].verdict
	l.retained = l.retained[1:]
	delete(l.ids, oldest.ID)
}

func (l *verdictList) byID(id string) (Verdict, bool) {
	verdict, found := l.ids[id]
	return verdict, found
}

func (l *verdictList) all() []Verdict {
	verdicts := make([]Verdict, 0, len(l.retained))
	for _, entry := range l.retained {
		verdicts = append(verdicts, entry.verdict)
	}
	return verdicts
}

// refuse completes a verdict with the problems found, at most maxProblems.
func refuse(verdict Verdict, found ...Problem) Verdict {
	verdict.Outcome = Refused
	for _, problem := range found[:min(len(found), maxProblems)] {
		verdict.Problems = append(verdict.Problems, Problem{
			Place:  truncate(problem.Place, maxReasonBytes),
			Reason: truncate(problem.Reason, maxReasonBytes),
		})
	}
	return verdict
}

// duplicateOf returns the verdict on a publication whose id already has one.
func duplicateOf(first Verdict) Verdict {
	duplicate := first
	duplicate.Outcome = Duplicate
	duplicate.Problems = slices.Clone(first.Problems)
	return duplicate
}
