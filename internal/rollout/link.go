package rollout

import (
	"context"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// trafficKind names the connections of reports in the traffic counters.
const trafficKind = "rollout"

// reportLink sends the reports of one service to its home.
type reportLink interface {
	send(ctx context.Context, home membership.Member, report Report) (answer, error)
	close()
}

// homeLink is the connection to the home.
type homeLink struct {
	service *service
	address string
	conn    *peer.Conn
}

// send sends one report to the home.
func (l *homeLink) send(ctx context.Context, home membership.Member, report Report) (answer, error) {
	if l.address != home.ControlAddress {
		l.close()
	}
	if l.conn == nil {
		conn, err := l.service.rollouts.options.Dialer.Dial(ctx, trafficKind, home.ControlAddress)
		if err != nil {
			return answer{}, err
		}
		l.conn, l.address = conn, home.ControlAddress
	}
	got, err := sendReport(ctx, l.conn, l.service.order, report)
	if err != nil {
		l.close()
	}
	return got, err
}

func (l *homeLink) close() {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	l.conn, l.address = nil, ""
}
