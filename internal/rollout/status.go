package rollout

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

const (
	// statusTimeout limits one read or write of a status.
	statusTimeout = 2 * time.Second
	// statusRetry is the pause after a failed one.
	statusRetry = 300 * time.Millisecond
)

// Status is what the log holds of the newest rollout of a service.
type Status struct {
	// Service is the full name, "workspace/service".
	Service string
	Version string
	State   State
	// OrderedUnixMs is when the order came and Hosts how many hosts were known, both by
	// the host that recorded Serving. They are 0 in other states.
	OrderedUnixMs uint64
	Hosts         uint32
}

// EncodeStatus encodes a payload of platform.RolloutStatusStream.
func EncodeStatus(status Status) ([]byte, error) {
	return proto.Marshal(&StatusRecord{Service: status.Service, Version: status.Version, State: uint32(status.State), OrderedUnixMs: status.OrderedUnixMs, Hosts: status.Hosts})
}

// DecodeStatus decodes a payload of platform.RolloutStatusStream. A record without a
// state gives the zero Status, as if there were none.
func DecodeStatus(payload []byte) (Status, error) {
	record := &StatusRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return Status{}, fmt.Errorf("decode rollout status: %w", err)
	}
	if record.GetState() == 0 {
		return Status{}, nil
	}
	if state := State(record.GetState()); state >= Serving && state <= Reverted {
		return Status{
			Service: record.GetService(), Version: record.GetVersion(), State: state,
			OrderedUnixMs: record.GetOrderedUnixMs(), Hosts: record.GetHosts(),
		}, nil
	}
	return Status{}, fmt.Errorf("decode rollout status: unknown state %d", record.GetState())
}

// errSuperseded means that the log holds the status of a later order.
var errSuperseded = errors.New("status of a later order is recorded")

// statusLog reads and writes the statuses in the log.
type statusLog struct{ log platform.KeyedLog }

// statusKey returns the key of a service's status: "rollout/" and its name without the
// workspace.
func statusKey(service string) string {
	_, name, _ := strings.Cut(service, "/")
	return "rollout/" + name
}

// read returns the newest status of a service, the zero Status if there is none, and
// the offset of the next append to the stream.
func (l statusLog) read(ctx context.Context, service string) (Status, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	records, next, err := l.log.Newest(ctx, platform.RolloutStatusStream)
	if err != nil {
		return Status{}, 0, fmt.Errorf("read rollout status of %s: %w", service, err)
	}
	key := statusKey(service)
	for _, record := range records {
		if record.Key == key {
			status, err := DecodeStatus(record.Payload)
			return status, next, err
		}
	}
	return Status{}, next, nil
}

// record makes the log hold a status and returns the status that it then holds for the
// version, which is another one if a final state was recorded before. A status is
// written only at the end of the log at which the newest one was read. An unknown
// outcome is resolved by the next call, which reads again. replaces is the version of
// the status that the order replaces; any other shows that the order was superseded.
func (l statusLog) record(ctx context.Context, status Status, replaces string) (Status, error) {
	newest, next, err := l.read(ctx, status.Service)
	if err != nil {
		return Status{}, err
	}
	switch {
	case newest.Version == status.Version && newest.State >= Serving && (newest.State != Serving || status.State == Serving):
		return newest, nil
	case newest.State >= Serving && newest.Version != status.Version && newest.Version != replaces:
		return newest, fmt.Errorf("record rollout status of %s: %w: %s", status.Service, errSuperseded, newest.Version)
	}
	payload, err := EncodeStatus(status)
	if err != nil {
		return Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if err := l.log.PutAt(ctx, platform.RolloutStatusStream, statusKey(status.Service), payload, next); err != nil {
		return Status{}, fmt.Errorf("record rollout status of %s: %w", status.Service, err)
	}
	return status, nil
}
