package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// maxRelayedRecordBytes bounds a record that is written for another host.
const maxRelayedRecordBytes = 4 << 10

// Errors of records that are written for another host.
var (
	errNoRelay       = errors.New("no other daemon is in contact")
	errRelayRefused  = errors.New("not a record of the asking host's history")
	errRelayHasNoLog = errors.New("this daemon has no log")
)

// relayRecord has another daemon write a record to the log, for a host that the log does not
// serve or that is cut off from it. Each call asks one daemon, chosen at random, so that an
// outage of the log for all costs one refused call more.
func (m *Membership) relayRecord(ctx context.Context, key string, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, historyCallTimeout)
	defer cancel()
	helpers := m.helpers(m.options.Self.Host)
	if len(helpers) == 0 {
		return errNoRelay
	}
	helper := helpers[rand.IntN(len(helpers))]
	conn, err := m.dial(ctx, helper.Host, helper.ControlAddress)
	if err != nil {
		return err
	}
	defer conn.Close()
	request := &StoreRecordRequest{Key: key, Payload: payload}
	if _, err := NewDRPCMembershipClient(conn).StoreRecord(ctx, request); err != nil {
		return fmt.Errorf("relay through %s: %w", helper.Host, err)
	}
	m.log.WithField("key", key).Infof("record of the target's history stored through host %s", helper.Host)
	m.metrics.historyRelayed.Inc()
	return nil
}

// StoreRecord writes a record of the asking host's history to the log.
func (s *server) StoreRecord(ctx context.Context, request *StoreRecordRequest) (*StoreRecordAnswer, error) {
	remote, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errNoIdentity
	}
	m := s.membership
	switch {
	case m.options.HostLog == nil:
		return nil, errRelayHasNoLog
	case !strings.HasPrefix(request.GetKey(), historyKeyPrefix(remote.Host)), len(request.GetPayload()) == 0, len(request.GetPayload()) > maxRelayedRecordBytes:
		return nil, fmt.Errorf("store record %q for %s: %w", request.GetKey(), remote.Host, errRelayRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, historyCallTimeout)
	defer cancel()
	if err := m.options.HostLog.Put(ctx, platform.TargetHistoryStream, request.GetKey(), request.GetPayload()); err != nil {
		return nil, fmt.Errorf("store record %q for %s: %w", request.GetKey(), remote.Host, err)
	}
	return &StoreRecordAnswer{}, nil
}
