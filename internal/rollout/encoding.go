package rollout

import "time"

func encodeTally(t *Tally) *VersionTotals {
	used := bucketCount
	for used > 0 && t.Times[used-1] == 0 {
		used--
	}
	if used == 0 && t.Failures == 0 {
		return nil
	}
	return &VersionTotals{Failures: t.Failures, Times: append([]uint64(nil), t.Times[:used]...)}
}

func decodeTally(message *VersionTotals) Tally {
	t := Tally{Failures: message.GetFailures()}
	copy(t.Times[:], message.GetTimes())
	return t
}

func encodeTotals(request *ReportRequest, totals Totals) {
	request.SentOld, request.SentNew = totals.SentOld, totals.SentNew
	for route, tallies := range totals.Routes {
		request.Routes = append(request.Routes, &RouteTotals{Route: route, Old: encodeTally(&tallies.Old), New: encodeTally(&tallies.New)})
	}
}

// decodeState decodes a state. One that this binary does not know counts as Serving,
// which decides nothing.
func decodeState(wire uint32) State {
	if state := State(wire); state == Completed || state == Reverted {
		return state
	}
	return Serving
}

// maxRoutes limits the routes of one report.
const maxRoutes = 1000

func decodeReport(request *ReportRequest, incarnation uint64) Report {
	report := Report{
		Incarnation: incarnation,
		Age:         time.Duration(min(request.GetAgeMs(), uint64(maxAge/time.Millisecond))) * time.Millisecond,
		State:       decodeState(request.GetState()),
		Reason:      request.GetReason(),
		All:         request.GetAll(),
		Moved:       request.GetMoved(),
		Watch:       request.GetWatch(),
		Totals: Totals{
			SentOld: request.GetSentOld(),
			SentNew: request.GetSentNew(),
			Routes:  make(map[string]VersionTallies, len(request.GetRoutes())),
		},
	}
	for _, route := range request.GetRoutes()[:min(len(request.GetRoutes()), maxRoutes)] {
		report.Totals.Routes[route.GetRoute()] = VersionTallies{Old: decodeTally(route.GetOld()), New: decodeTally(route.GetNew())}
	}
	return report
}

// maxAge limits the age of an order that a report may claim.
const maxAge = 48 * time.Hour

func encodeAnswer(a answer) *ReportAnswer {
	return &ReportAnswer{
		Unknown:  a.unknown,
		Share:    a.share,
		Step:     uint32(a.step),
		State:    uint32(a.state),
		Reason:   a.reason,
		AgeMs:    uint64(a.age / time.Millisecond),
		Recorded: a.recorded,
	}
}

func decodeAnswer(message *ReportAnswer) answer {
	return answer{
		unknown:  message.GetUnknown(),
		share:    min(max(message.GetShare(), 0), 1),
		step:     min(Step(message.GetStep()), Held),
		state:    decodeState(message.GetState()),
		reason:   message.GetReason(),
		age:      time.Duration(min(message.GetAgeMs(), uint64(maxAge/time.Millisecond))) * time.Millisecond,
		recorded: message.GetRecorded(),
	}
}
