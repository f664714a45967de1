package settings

import "fmt"

// Error reports an invalid setting.
type Error struct {
	File string
	// Line counts from 1. It is 0 when the value is not from the file.
	Line int
	// Field is the path of the setting, such as "listen.admin".
	Field string
	// Found describes the value that was found.
	Found string
	// Expected describes the accepted values.
	Expected string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: found %s, expected %s", e.File, e.Line, e.Field, e.Found, e.Expected)
}
