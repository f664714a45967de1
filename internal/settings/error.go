package settings

import "fmt"

// Error says which setting is wrong, and why.
type Error struct {
	File string
	// Line counts from 1; it is 0 when the value is not from the file.
	Line int
	// Field is the path of the setting, such as "listen.admin".
	Field string
	// Found is what the file holds.
	Found string
	// Allowed is what the file may hold there.
	Allowed string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: found %s, allowed is %s", e.File, e.Line, e.Field, e.Found, e.Allowed)
}
