package publish

import "fmt"

// checkEntry returns why an entry with a supported schema is malformed, or "".
func checkEntry(entry *Entry) string {
	switch {
	case entry.GetSchema() == 0:
		return "has no schema number"
	case len(entry.ProtoReflect().GetUnknown()) > 0:
		return "has fields that its schema lacks"
	case entry.GetKind() == nil:
		return "holds nothing that its schema knows"
	}
	return ""
}

// checkPublication checks the fields that are not used for rendering.
func checkPublication(publication *Publication) []Problem {
	var found problems
	if len(publication.ProtoReflect().GetUnknown()) > 0 {
		found.add("publication", "has fields that its schema lacks")
	}
	if publication.GetId() == "" {
		found.add("id", "is empty")
	}
	checkLength(&found, "id", publication.GetId(), MaxIDBytes)
	checkLength(&found, "author", publication.GetAuthor(), MaxTextBytes)
	checkLength(&found, "reason", publication.GetReason(), MaxTextBytes)
	checkLength(&found, "daemon", publication.GetDaemon(), MaxTextBytes)
	found.checkName("workspace", publication.GetWorkspace(), namePattern)
	return found
}

func checkLength(found *problems, place, text string, limit int) {
	if len(text) > limit {
		found.add(place, "has %d bytes, at most %d are allowed", len(text), limit)
	}
}

// entryTooLarge returns the error for an entry above its limit.
func entryTooLarge(size, limit int) error {
	return fmt.Errorf("has %d bytes, at most %d are allowed", size, limit)
}
