package membership

import "time"

func encodeEntry(r *row, now time.Time) *Entry {
	message := &Entry{
		Host:           r.host,
		Zone:           r.zone,
		Region:         r.region,
		Incarnation:    r.version.Incarnation,
		Counter:        r.version.Counter,
		State:          uint32(r.state),
		ControlAddress: r.controlAddress,
		CallsAddress:   r.callsAddress,
		Service:        r.service,
		Slots:          uint32(r.slots),
		TargetState:    uint32(r.targetState),
		TargetVersion:  r.targetVersion,
		LogDistanceMs:  r.logRTTMs,
		InForce:        r.appliedOffset,
		Unreachable:    r.unreachableKeys,
		SilentZones:    r.silentZones,
		Departures:     encodeDepartures(r.history.departures),
		OperatorDrain:  encodeOperatorDrain(r.history.drain),
	}
	if !r.goneSince.IsZero() {
		message.GoneSeconds = uint32(now.Sub(r.goneSince) / time.Second)
	}
	return message
}

func encodeEntries(rows []*row, now time.Time) []*Entry {
	messages := make([]*Entry, 0, len(rows))
	for _, r := range rows {
		messages = append(messages, encodeEntry(r, now))
	}
	return messages
}

// decodeEntry returns the entry of a message and for how long the sender has
// known its daemon to have left or to be unreachable.
func decodeEntry(message *Entry) (entry, time.Duration) {
	decoded := entry{
		host:   message.GetHost(),
		zone:   message.GetZone(),
		region: message.GetRegion(),
		version: EntryVersion{
			Incarnation: message.GetIncarnation(),
			Counter:     message.GetCounter(),
		},
		state:           State(message.GetState()),
		controlAddress:  message.GetControlAddress(),
		callsAddress:    message.GetCallsAddress(),
		service:         message.GetService(),
		slots:           int(message.GetSlots()),
		targetState:     TargetState(message.GetTargetState()),
		targetVersion:   message.GetTargetVersion(),
		logRTTMs:        message.GetLogDistanceMs(),
		appliedOffset:   message.GetInForce(),
		unreachableKeys: message.GetUnreachable(),
		silentZones:     message.GetSilentZones(),
		history: targetHistory{
			departures: decodeDepartures(message.GetDepartures()),
			drain:      decodeOperatorDrain(message.GetOperatorDrain()),
		},
	}
	return decoded, time.Duration(message.GetGoneSeconds()) * time.Second
}

func encodeDeparture(d departedInstance) *Departure {
	return &Departure{Instance: d.instance, StartedMs: d.startedUnixMs, LeftMs: d.leftUnixMs}
}

func encodeDepartures(known departures) []*Departure {
	messages := make([]*Departure, 0, len(known))
	for _, d := range known {
		messages = append(messages, encodeDeparture(d))
	}
	return messages
}

func decodeDeparture(message *Departure) departedInstance {
	return departedInstance{
		instanceID: instanceID{instance: message.GetInstance(), startedUnixMs: message.GetStartedMs()},
		leftUnixMs: message.GetLeftMs(),
	}
}

func decodeDepartures(messages []*Departure) departures {
	var decoded departures
	for _, message := range messages {
		decoded = append(decoded, decodeDeparture(message))
	}
	return decoded
}

// encodeOperatorDrain returns nil if there was no request of an operator.
func encodeOperatorDrain(d operatorDrain) *OperatorDrain {
	if d.revision == 0 {
		return nil
	}
	return &OperatorDrain{Revision: d.revision, Drained: d.drained}
}

func decodeOperatorDrain(message *OperatorDrain) operatorDrain {
	return operatorDrain{revision: message.GetRevision(), drained: message.GetDrained()}
}

func encodeTargetRecord(r targetRecord) *TargetRecord {
	if r.drain.revision > 0 {
		return &TargetRecord{OperatorDrain: encodeOperatorDrain(r.drain)}
	}
	return &TargetRecord{Departure: encodeDeparture(r.departure)}
}

func decodeTargetRecord(message *TargetRecord) targetRecord {
	return targetRecord{
		departure: decodeDeparture(message.GetDeparture()),
		drain:     decodeOperatorDrain(message.GetOperatorDrain()),
	}
}
