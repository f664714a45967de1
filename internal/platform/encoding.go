package platform

import "time"

// RecordsToWire converts records to the form that messages between daemons and to
// the log contain.
func RecordsToWire(records []Record) []*StoredRecord {
	wire := make([]*StoredRecord, 0, len(records))
	for _, record := range records {
		wire = append(wire, &StoredRecord{
			Offset:     record.Offset,
			AppendedMs: record.Appended.UnixMilli(),
			Payload:    record.Payload,
		})
	}
	return wire
}

// RecordsFromWire converts the records of a message.
func RecordsFromWire(wire []*StoredRecord) []Record {
	records := make([]Record, 0, len(wire))
	for _, stored := range wire {
		records = append(records, Record{
			Offset:   stored.GetOffset(),
			Appended: time.UnixMilli(stored.GetAppendedMs()),
			Payload:  stored.GetPayload(),
		})
	}
	return records
}
