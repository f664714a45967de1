package call

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/pace"
)

// errTargetRefuses means that the target has lately refused or failed all requests.
var errTargetRefuses = errors.New("target refuses or fails all requests")

// adapt makes the queue find the concurrency limit of the target. It must be called
// before the first request.
func (a *admissionQueue) adapt() { a.pace = pace.New() }

// checkPace returns why a request must be refused at once, nil if it need not be: the
// target refuses or fails everything, or it has never answered in the time that is left. A
// target that is not known to have work gets a request in any case, so that an estimate
// that is too high is corrected.
func (a *admissionQueue) checkPace(request admissionRequest) error {
	if a.pace == nil {
		return nil
	}
	now := a.now()
	a.pace.SetTarget(a.limits.instance, a.limits.slots, now)
	switch {
	case a.pace.Refusing(now):
		return errTargetRefuses
	case a.pace.Working(now) && now.Add(a.pace.Least(request.rank())).After(request.deadline):
		return errDeadlineTooSoon
	default:
		return nil
	}
}

// hasFreeSlot reports whether a slot is free and the limit found for the target allows
// another request.
func (a *admissionQueue) hasFreeSlot() bool {
	return a.busy < a.limits.slots && (a.pace == nil || a.pace.Allows(a.now()))
}

// occupySlot takes a free slot.
func (a *admissionQueue) occupySlot() {
	a.busy++
	if a.pace != nil {
		a.pace.Begin(a.now())
	}
}

// usableSlots returns how many of the slots may be used now.
func (a *admissionQueue) usableSlots() int {
	if a.pace == nil {
		return a.limits.slots
	}
	return min(a.limits.slots, a.pace.Usable(a.now()))
}

// reportedSlots returns for how many slots callers should count the target.
func (a *admissionQueue) reportedSlots() int {
	if a.pace == nil {
		return a.limits.slots
	}
	return min(a.limits.slots, a.pace.ReportedSlots(a.now()))
}

// recordResponse records that the target began a response.
func (a *admissionQueue) recordResponse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pace != nil {
		a.pace.Respond(a.now())
	}
}

// grantSlotsAsPaced grants slots when the limit found for the target next allows a
// request without an answer.
func (a *admissionQueue) grantSlotsAsPaced() {
	if a.pace == nil || a.queued == 0 || a.paceWake != nil {
		return
	}
	now := a.now()
	next := a.pace.NextChange(now)
	if next.IsZero() {
		return
	}
	a.paceWake = time.AfterFunc(next.Sub(now), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.paceWake = nil
		a.grantSlots()
	})
}

// recordAnswer records how a request ended that held a slot, before the slot is freed.
// It returns a change of the limit worth a log line, nil for none.
func (a *admissionQueue) recordAnswer(answer pace.Answer) *pace.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pace.End(answer, a.now())
	return a.pace.TakeChange()
}

// concurrencyLimit returns the limit found for the target, -1 if none is looked for.
func (a *admissionQueue) concurrencyLimit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pace == nil {
		return -1
	}
	return float64(a.pace.ReportedSlots(a.now()))
}

// recordPace records how a request ended that held a slot for a time, and logs a change
// of the limit. The time of one that succeeded is that until its response began: a slow
// reader of a long response is no sign of a slow target.
func (s *Server) recordPace(outcome pace.Outcome, q *request, held, answered time.Duration, responded bool) {
	if s.admission.pace == nil {
		return
	}
	if outcome == pace.Succeeded {
		held = answered
	}
	change := s.admission.recordAnswer(pace.Answer{Outcome: outcome, Responded: responded, Rank: q.rank(), Time: held, Objective: q.objective})
	if change == nil {
		return
	}
	message := "concurrency limit of the target fell"
	if change.Recovered {
		message = "concurrency limit of the target recovered"
	}
	s.requestLogs.decision.WithFields(logrus.Fields{
		"instance":  change.Instance,
		"limit":     change.Limit,
		"slots":     change.Slots,
		"reason":    change.Reason,
		"slowdown":  change.Slowdown,
		"failed":    change.FailedShare,
		"refusals":  change.Refusals,
		"abandoned": change.Abandoned,
		"age":       change.Age,
	}).Info(message)
}

// sendFailurePace returns what a request that got no response shows about the target. One
// that sends part of a response works, as for the breaker.
func sendFailurePace(ctx context.Context, failed sendFailure) pace.Outcome {
	switch {
	case !failed.mayHaveSent:
		return pace.Inconclusive
	case ctx.Err() != nil:
		return pace.Abandoned
	case !failed.unanswered:
		return pace.Inconclusive
	default:
		return pace.Failed
	}
}

// refusalPace returns what a response that is not passed on shows about the target. A
// request that was meant for another instance says nothing about its load.
func refusalPace(response *http.Response, failure *Error) pace.Outcome {
	switch {
	case failure.Outcome != NotRun:
		return pace.Failed
	case response.StatusCode == http.StatusMisdirectedRequest:
		return pace.Inconclusive
	default:
		return pace.Refused
	}
}

// responsePace returns what a response that is passed on shows about the target: one that
// breaks off is no sign that all requests fail.
func responsePace(ctx context.Context, succeeded, complete bool) pace.Outcome {
	switch {
	case succeeded:
		return pace.Succeeded
	case !complete && ctx.Err() != nil:
		return pace.Abandoned
	case !complete:
		return pace.Inconclusive
	default:
		return pace.Failed
	}
}
