package distribute

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"storj.io/drpc/drpcmux"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// errNoIdentity reports a request on a connection without a hello.
var errNoIdentity = errors.New("connection has no peer identity")

// Register registers the services of this package with mux.
func (d *Distributor) Register(mux *drpcmux.Mux) error {
	if err := DRPCRegisterDistribute(mux, &server{distributor: d}); err != nil {
		return fmt.Errorf("register distribute: %w", err)
	}
	return nil
}

// server maps DRPC requests to calls of the distributor.
type server struct{ distributor *Distributor }

func (s *server) Follow(stream DRPCDistribute_FollowStream) error {
	child, ok := peer.FromContext(stream.Context())
	if !ok {
		return errNoIdentity
	}
	end := &serverLink{stream: stream, decode: newDecoder(s.distributor.now), records: &s.distributor.recordEncoder}
	return s.distributor.serveFollower(stream.Context(), child, end)
}

func (s *server) CatchUp(ctx context.Context, request *CatchUpRequest) (*CatchUpAnswer, error) {
	requester, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errNoIdentity
	}
	response, err := s.distributor.handleCatchUp(requester, request.GetOffset(), request.GetDigest())
	if err != nil {
		return nil, err
	}
	records, err := s.distributor.recordEncoder.encode(response.Records, request.GetAcceptsCompressed())
	if err != nil {
		return nil, err
	}
	return catchUpToWire(response, records, s.distributor.now()), nil
}

func (s *server) Exchange(stream DRPCDistribute_ExchangeStream) error {
	ctx := stream.Context()
	end := &exchangeLink{
		stream:    stream,
		decode:    newDecoder(s.distributor.now),
		onReceive: func(notify func()) { peer.OnReceive(ctx, notify) },
		closeConn: func() { peer.CloseConn(ctx) },
	}
	return s.distributor.exchangeSummaries(ctx, end)
}

// serverLink is the parent's end of a stream over DRPC.
type serverLink struct {
	stream  DRPCDistribute_FollowStream
	decode  *wireDecoder
	records *recordEncoder
	// compressed is set once the follower has said that it accepts compressed
	// records.
	compressed atomic.Bool
}

func (l *serverLink) Send(message update) error {
	records, err := l.records.encode(message.Records, l.compressed.Load())
	if err != nil {
		return err
	}
	return l.stream.Send(updateToWire(message, records, l.decode.now()))
}

func (l *serverLink) Recv() (ack, error) {
	message, err := l.stream.Recv()
	if err != nil {
		return ack{}, err
	}
	if message.GetAcceptsCompressed() {
		l.compressed.Store(true)
	}
	return l.decode.ack(message), nil
}

func (l *serverLink) OnReceive(notify func()) { peer.OnReceive(l.stream.Context(), notify) }

func (l *serverLink) Close() { peer.CloseConn(l.stream.Context()) }
