package distribute

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// openFollow dials a source and opens the stream.
func (d *Distributor) openFollow(ctx context.Context, source Source) (*clientLink, error) {
	conn, err := d.dialWithin(ctx, d.timing.IdleTimeout, source.Address)
	if err != nil {
		return nil, fmt.Errorf("follow %s: %w", source, err)
	}
	stream, err := NewDRPCDistributeClient(conn).Follow(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("follow %s: open stream: %w", source, err)
	}
	return &clientLink{conn: conn, stream: stream, decode: newDecoder(d.now)}, nil
}

// dialWithin dials a daemon. A timeout above the one of the dialer has no effect.
func (d *Distributor) dialWithin(ctx context.Context, timeout time.Duration, address string) (*peer.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.dialer.Dial(ctx, trafficKind, address)
}

// clientLink is the follower's end of a stream over DRPC.
type clientLink struct {
	conn   *peer.Conn
	stream DRPCDistribute_FollowClient
	decode *wireDecoder
	// opened is set once the first message was sent.
	opened bool
}

func (l *clientLink) Send(message ack) error {
	wire := ackToWire(message, l.decode.now())
	wire.AcceptsCompressed = !l.opened
	l.opened = true
	return l.stream.Send(wire)
}

func (l *clientLink) Recv() (update, error) {
	message, err := l.stream.Recv()
	if err != nil {
		return update{}, err
	}
	return l.decode.update(message)
}

func (l *clientLink) OnReceive(notify func()) { l.conn.OnReceive(notify) }

func (l *clientLink) Close() { _ = l.conn.Close() }

// region returns the region of the parent.
func (l *clientLink) region() string { return l.conn.Peer.Region }

// catchUp requests once from a peer what this daemon is missing. It reports what
// arrives as progress to ctx.
func (d *Distributor) catchUp(ctx context.Context, address string, offset uint64, digest []byte) (catchUpResponse, error) {
	conn, err := d.dialer.Dial(ctx, trafficKind, address)
	if err != nil {
		return catchUpResponse{}, fmt.Errorf("catch up: %w", err)
	}
	defer conn.Close()
	conn.OnReceive(func() { idle.Progress(ctx) })
	request := &CatchUpRequest{Offset: offset, Digest: digest, AcceptsCompressed: true}
	response, err := NewDRPCDistributeClient(conn).CatchUp(ctx, request)
	if err != nil {
		return catchUpResponse{}, fmt.Errorf("catch up from %s: %w", conn.Peer.Host, idle.Error(ctx, err))
	}
	decoded, err := catchUpFromWire(response, d.now())
	if err != nil {
		return catchUpResponse{}, fmt.Errorf("catch up from %s: %w", conn.Peer.Host, err)
	}
	return decoded, nil
}

// openExchange dials a daemon of another region to exchange summaries.
func (d *Distributor) openExchange(ctx context.Context, address string) (summaryLink, error) {
	conn, err := d.dialer.Dial(ctx, trafficKind, address)
	if err != nil {
		return nil, fmt.Errorf("exchange summaries: %w", err)
	}
	stream, err := NewDRPCDistributeClient(conn).Exchange(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("exchange summaries with %s: %w", conn.Peer.Host, err)
	}
	return &exchangeLink{stream: stream, decode: newDecoder(d.now), onReceive: conn.OnReceive, closeConn: func() { _ = conn.Close() }}, nil
}

// exchangeStream is either end of an exchange over DRPC.
type exchangeStream interface {
	Send(*RegionSummaryMessage) error
	Recv() (*RegionSummaryMessage, error)
}

// exchangeLink encodes and decodes the summaries of an exchange.
type exchangeLink struct {
	stream    exchangeStream
	decode    *wireDecoder
	onReceive func(func())
	closeConn func()
}

func (l *exchangeLink) Send(summary RegionSummary) error {
	return l.stream.Send(regionToWire(summary, l.decode.now()))
}

func (l *exchangeLink) Recv() (RegionSummary, error) {
	message, err := l.stream.Recv()
	if err != nil {
		return RegionSummary{}, err
	}
	return l.decode.region(message), nil
}

func (l *exchangeLink) OnReceive(notify func()) { l.onReceive(notify) }

func (l *exchangeLink) Close() { l.closeConn() }
