package settings

import "fmt"

// Error reports an invalid setting.
type Error struct {
	// File is the name of the file, overrideSource for the value of an Override.
	File string
	// Line counts from 1. It is 0 when the value is not from a file.
	Line int
	// Field is the path of the setting, such as "listen.admin".
	Field string
	// Found describes the value that was found.
	Found string
	// Expected describes the accepted values.
	Expected string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: found %s, expected %s", e.place(), e.Field, e.Found, e.Expected)
}

// place returns the file, with the line if the value is from one.
func (e *Error) place() string {
	if e.Line == 0 {
		return e.File
	}
	return fmt.Sprintf("%s:%d", e.File, e.Line)
}
