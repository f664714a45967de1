package distribute

import "time"

// Times are sent as ages, so that the clocks of two daemons need not agree.

// ageToWire returns the age of a time plus one millisecond, 0 for the zero
// time.
func ageToWire(at, now time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(0, now.Sub(at).Milliseconds())) + 1
}

// ageFromWire reverses ageToWire.
func ageFromWire(ms uint64, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms-1) * time.Millisecond)
}

// digestBytes is how much of a digest is sent on streams, where it is used only
// to detect divergence.
const digestBytes = 8

func shortDigest(digest []byte) []byte { return digest[:min(digestBytes, len(digest))] }

func ackToWire(message ack, now time.Time) *FollowRequest {
	return &FollowRequest{
		Offset:    message.Offset,
		Digest:    shortDigest(message.Digest),
		Zones:     zonesToWire(message.Zones, now),
		SettledAt: message.CommonOffset,
		Retired:   regionsToWire(message.Retired, now),
	}
}

func updateToWire(message update, records encodedRecords, now time.Time) *FollowAnswer {
	return &FollowAnswer{
		Records:     records.plain,
		Snapshot:    snapshotToWire(message.Snapshot),
		Offset:      message.Offset,
		Digest:      shortDigest(message.Digest),
		AgeMs:       ageToWire(message.UpToDateAt, now),
		Path:        message.Path,
		PathChanged: message.Path != nil,
		Stopped:     message.Stopped,
		Regions:     regionsToWire(message.Regions, now),

		CompressedRecords: records.compressed,
	}
}

func snapshotToWire(snap *snapshot) *CompressedSnapshot {
	if snap == nil {
		return nil
	}
	return &CompressedSnapshot{Offset: snap.Offset, Digest: snap.Digest, State: snap.State}
}

func snapshotFromWire(wire *CompressedSnapshot) *snapshot {
	if wire == nil {
		return nil
	}
	return &snapshot{Offset: wire.GetOffset(), Digest: wire.GetDigest(), State: wire.GetState()}
}

func catchUpToWire(response catchUpResponse, records encodedRecords, now time.Time) *CatchUpAnswer {
	return &CatchUpAnswer{
		Records:      records.plain,
		Snapshot:     snapshotToWire(response.Snapshot),
		Offset:       response.Offset,
		Digest:       response.Digest,
		RetryAfterMs: uint32(response.RetryAfter.Milliseconds()),
		Elsewhere:    response.Alternatives,
		AgeMs:        ageToWire(response.UpToDateAt, now),
		Path:         response.Path,
		Stopped:      response.Stopped,

		CompressedRecords: records.compressed,
	}
}

func catchUpFromWire(wire *CatchUpAnswer, now time.Time) (catchUpResponse, error) {
	records, err := recordsFromWire(wire.GetRecords(), wire.GetCompressedRecords())
	if err != nil {
		return catchUpResponse{}, err
	}
	return catchUpResponse{
		Records:      records,
		Snapshot:     snapshotFromWire(wire.GetSnapshot()),
		Offset:       wire.GetOffset(),
		Digest:       wire.GetDigest(),
		RetryAfter:   time.Duration(wire.GetRetryAfterMs()) * time.Millisecond,
		Alternatives: wire.GetElsewhere(),
		UpToDateAt:   ageFromWire(wire.GetAgeMs(), now),
		Path:         wire.GetPath(),
		Stopped:      wire.GetStopped(),
	}, nil
}

func zonesToWire(zones []ZoneSummary, now time.Time) []*ZoneSummaryMessage {
	wire := make([]*ZoneSummaryMessage, 0, len(zones))
	for _, zone := range zones {
		wire = append(wire, &ZoneSummaryMessage{
			Zone:      zone.Zone,
			Region:    zone.Region,
			Daemons:   uint32(zone.Daemons),
			Lowest:    zone.Lowest,
			Highest:   zone.Highest,
			AtHighest: uint32(zone.AtHighest),
			Behind:    laggingToWire(zone.Lagging, now),
		})
	}
	return wire
}

func laggingToWire(hosts []LaggingHost, now time.Time) []*LaggingHostMessage {
	wire := make([]*LaggingHostMessage, 0, len(hosts))
	for _, host := range hosts {
		wire = append(wire, &LaggingHostMessage{
			Host:    host.Host,
			Offset:  host.Offset,
			HeardMs: ageToWire(host.LastHeard, now),
		})
	}
	return wire
}

func regionsToWire(regions []RegionSummary, now time.Time) []*RegionSummaryMessage {
	wire := make([]*RegionSummaryMessage, 0, len(regions))
	for _, region := range regions {
		wire = append(wire, regionToWire(region, now))
	}
	return wire
}

func regionToWire(region RegionSummary, now time.Time) *RegionSummaryMessage {
	return &RegionSummaryMessage{
		Root:      region.Root,
		AgeMs:     ageToWire(region.CreatedAt, now),
		Zones:     zonesToWire(region.Zones, now),
		SettledAt: region.CommonOffset,
	}
}

// wireDecoder decodes messages and converts ages to times of the receiver's
// clock.
type wireDecoder struct{ now func() time.Time }

func newDecoder(now func() time.Time) *wireDecoder { return &wireDecoder{now: now} }

func (d *wireDecoder) ack(wire *FollowRequest) ack {
	return ack{
		Offset:       wire.GetOffset(),
		Digest:       wire.GetDigest(),
		Zones:        d.zones(wire.GetZones()),
		CommonOffset: wire.GetSettledAt(),
		Retired:      d.regions(wire.GetRetired()),
	}
}

func (d *wireDecoder) update(wire *FollowAnswer) (update, error) {
	records, err := recordsFromWire(wire.GetRecords(), wire.GetCompressedRecords())
	if err != nil {
		return update{}, err
	}
	message := update{
		Records:    records,
		Snapshot:   snapshotFromWire(wire.GetSnapshot()),
		Offset:     wire.GetOffset(),
		Digest:     wire.GetDigest(),
		UpToDateAt: ageFromWire(wire.GetAgeMs(), d.now()),
		Stopped:    wire.GetStopped(),
		Regions:    d.regions(wire.GetRegions()),
	}
	if wire.GetPathChanged() {
		message.Path = append([]string{}, wire.GetPath()...)
	}
	return message, nil
}

func (d *wireDecoder) zones(wire []*ZoneSummaryMessage) []ZoneSummary {
	zones := make([]ZoneSummary, 0, len(wire))
	for _, zone := range wire {
		zones = append(zones, ZoneSummary{
			Zone:      zone.GetZone(),
			Region:    zone.GetRegion(),
			Daemons:   int(zone.GetDaemons()),
			Lowest:    zone.GetLowest(),
			Highest:   zone.GetHighest(),
			AtHighest: int(zone.GetAtHighest()),
			Lagging:   d.lagging(zone.GetBehind()),
		})
	}
	return zones
}

func (d *wireDecoder) lagging(wire []*LaggingHostMessage) []LaggingHost {
	hosts := make([]LaggingHost, 0, len(wire))
	for _, host := range wire {
		hosts = append(hosts, LaggingHost{
			Host:      host.GetHost(),
			Offset:    host.GetOffset(),
			LastHeard: ageFromWire(host.GetHeardMs(), d.now()),
		})
	}
	return hosts
}

func (d *wireDecoder) regions(wire []*RegionSummaryMessage) []RegionSummary {
	regions := make([]RegionSummary, 0, len(wire))
	for _, region := range wire {
		regions = append(regions, d.region(region))
	}
	return regions
}

func (d *wireDecoder) region(wire *RegionSummaryMessage) RegionSummary {
	return RegionSummary{
		Root:         wire.GetRoot(),
		CreatedAt:    ageFromWire(wire.GetAgeMs(), d.now()),
		Zones:        d.zones(wire.GetZones()),
		CommonOffset: wire.GetSettledAt(),
	}
}
