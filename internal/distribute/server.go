package distribute

import (
	"context"
	"errors"
	"fmt"

	"storj.io/drpc/drpcmux"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// errNoIdentity says that a request came over a connection without a hello.
var errNoIdentity = errors.New("the connection has no identity")

// Register serves this slice's requests on mux.
func (d *Distributor) Register(mux *drpcmux.Mux) error {
	if err := DRPCRegisterDistribute(mux, &server{distributor: d}); err != nil {
		return fmt.Errorf("register distribute: %w", err)
	}
	return nil
}

// server turns requests over drpc into calls of the distributor.
type server struct{ distributor *Distributor }

func (s *server) Follow(stream DRPCDistribute_FollowStream) error {
	child, ok := peer.FromContext(stream.Context())
	if !ok {
		return errNoIdentity
	}
	end := &serverLink{stream: stream, decode: newDecoder(s.distributor.now)}
	return s.distributor.serveFollower(stream.Context(), child, end)
}

func (s *server) CatchUp(ctx context.Context, request *CatchUpRequest) (*CatchUpAnswer, error) {
	asking, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errNoIdentity
	}
	answer, err := s.distributor.handleCatchUp(asking, request.GetOffset(), request.GetDigest())
	if err != nil {
		return nil, err
	}
	return catchUpToWire(answer, s.distributor.now()), nil
}

func (s *server) Exchange(stream DRPCDistribute_ExchangeStream) error {
	ctx := stream.Context()
	end := &exchangeLink{stream: stream, decode: newDecoder(s.distributor.now), closeConn: func() { peer.CloseConn(ctx) }}
	return s.distributor.exchangeSummaries(ctx, end)
}

// serverLink is the parent's end of a stream over drpc.
type serverLink struct {
	stream DRPCDistribute_FollowStream
	decode *wireDecoder
}

func (l *serverLink) Send(message update) error {
	return l.stream.Send(updateToWire(message, l.decode.now()))
}

func (l *serverLink) Recv() (ack, error) {
	message, err := l.stream.Recv()
	if err != nil {
		return ack{}, err
	}
	return l.decode.ack(message), nil
}

func (l *serverLink) Close() { peer.CloseConn(l.stream.Context()) }
