package quota

import "math"

// milli is the unit of rates in messages.
const milli = 1000

func usageToWire(u Usage) *UsageMessage {
	return &UsageMessage{
		Workspace: u.Workspace, Admitted: int64(u.Admitted), Samples: uint32(u.Samples), Blind: u.Blind,
		Demand: toMilli(u.Demand), Rate: toMilli(u.Limit.Rate), Burst: toMilli(u.Limit.Burst),
	}
}

func usageFromWire(m *UsageMessage) Usage {
	return Usage{
		Workspace: m.GetWorkspace(), Admitted: int(m.GetAdmitted()), Samples: int(m.GetSamples()), Blind: m.GetBlind(),
		Demand: fromMilli(m.GetDemand()), Limit: Limit{Rate: fromMilli(m.GetRate()), Burst: fromMilli(m.GetBurst())},
	}
}

func grantToWire(g Grant) *GrantMessage {
	return &GrantMessage{Workspace: g.Workspace, Mode: uint32(g.Mode), Rate: toMilli(g.Rate)}
}

func grantFromWire(m *GrantMessage) Grant {
	return Grant{Workspace: m.GetWorkspace(), Mode: Mode(m.GetMode()), Rate: fromMilli(m.GetRate())}
}

func toMilli(value float64) uint64 { return uint64(math.Round(max(0, value) * milli)) }

func fromMilli(value uint64) float64 { return float64(value) / milli }

// answer is a message of a home to a daemon.
type answer struct {
	acknowledged uint64
	grants       []Grant
}

func reportToWire(usages []Usage) *ReportRequest {
	request := &ReportRequest{Usages: make([]*UsageMessage, 0, len(usages))}
	for _, u := range usages {
		request.Usages = append(request.Usages, usageToWire(u))
	}
	return request
}

func reportFromWire(request *ReportRequest) []Usage {
	usages := make([]Usage, 0, len(request.GetUsages()))
	for _, m := range request.GetUsages() {
		usages = append(usages, usageFromWire(m))
	}
	return usages
}

func answerToWire(a answer) *ReportAnswer {
	message := &ReportAnswer{Acknowledged: a.acknowledged, Grants: make([]*GrantMessage, 0, len(a.grants))}
	for _, g := range a.grants {
		message.Grants = append(message.Grants, grantToWire(g))
	}
	return message
}

func answerFromWire(message *ReportAnswer) answer {
	a := answer{acknowledged: message.GetAcknowledged()}
	for _, m := range message.GetGrants() {
		a.grants = append(a.grants, grantFromWire(m))
	}
	return a
}
