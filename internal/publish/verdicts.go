package publish

import "slices"

// verdictList holds the last KeptVerdicts verdicts, oldest first, and finds
// them by publication id.
type verdictList struct {
	kept []keptVerdict
	ids  map[string]Verdict
}

// keptVerdict is a verdict with its digest.
type keptVerdict struct {
	verdict Verdict
	digest  itemDigest
}

func (l *verdictList) add(verdict Verdict) {
	if l.ids == nil {
		l.ids = map[string]Verdict{}
	}
	l.kept = append(l.kept, keptVerdict{verdict: verdict, digest: digestVerdict(verdict)})
	if verdict.ID != "" {
		l.ids[verdict.ID] = verdict
	}
	for len(l.kept) > MaxRetainedVerdicts {
		l.dropOldest()
	}
}

func (l *verdictList) dropOldest() {
	oldest := l.kept[0].verdict
	l.kept = l.kept[1:]
	delete(l.ids, oldest.ID)
}

func (l *verdictList) byID(id string) (Verdict, bool) {
	verdict, found := l.ids[id]
	return verdict, found
}

func (l *verdictList) all() []Verdict {
	verdicts := make([]Verdict, 0, len(l.kept))
	for _, each := range l.kept {
		verdicts = append(verdicts, each.verdict)
	}
	return verdicts
}

// refuse completes a verdict with the problems found, as many as are kept.
func refuse(verdict Verdict, found ...Problem) Verdict {
	verdict.Outcome = Refused
	for _, problem := range found[:min(len(found), maxProblems)] {
		verdict.Problems = append(verdict.Problems, Problem{
			Place:  shorten(problem.Place, maxReasonBytes),
			Reason: shorten(problem.Reason, maxReasonBytes),
		})
	}
	return verdict
}

// duplicateOf is the verdict of a publication whose id has one already.
func duplicateOf(first Verdict) Verdict {
	duplicate := first
	duplicate.Outcome = Duplicate
	duplicate.Problems = slices.Clone(first.Problems)
	return duplicate
}
