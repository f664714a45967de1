package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

var errNoIdentity = errors.New("no peer identity: connection sent no hello")

// sendReport sends a report over a connection.
func sendReport(ctx context.Context, conn *peer.Conn, order publish.Rollout, report Report) (answer, error) {
	request := &ReportRequest{
		Service: order.Service,
		Version: order.Version,
		AgeMs:   uint64(report.Age / time.Millisecond),
		State:   uint32(report.State),
		Reason:  report.Reason,
		All:     report.All,
		Moved:   report.Moved,
		Watch:   report.Watch,
	}
	encodeTotals(request, report.Totals)
	message, err := NewDRPCRolloutClient(conn).Report(ctx, request)
	if err != nil {
		return answer{}, fmt.Errorf("report to %s: %w", conn.Peer.Host, err)
	}
	return decodeAnswer(message), nil
}

// Register registers the handler of reports.
func (r *Rollouts) Register(mux drpc.Mux) error {
	return DRPCRegisterRollout(mux, &server{rollouts: r})
}

// server answers the reports of other daemons.
type server struct{ rollouts *Rollouts }

// Report merges the report of a daemon and answers what it shall do.
func (s *server) Report(ctx context.Context, request *ReportRequest) (*ReportAnswer, error) {
	remote, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errNoIdentity
	}
	found := s.rollouts.find(request.GetService(), request.GetVersion())
	if found == nil {
		return encodeAnswer(answer{unknown: true, state: Serving}), nil
	}
	return encodeAnswer(found.handle(remote.Host, decodeReport(request, remote.Incarnation))), nil
}
