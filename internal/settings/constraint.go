package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/sirupsen/logrus"
	"github.com/tailscale/hujson"
)

// constraint describes the values that one field accepts.
type constraint struct {
	form     string
	min, max string
	literal  hujson.Kind
	kind     reflect.Type
}

var (
	durationType = reflect.TypeFor[Duration]()
	sizeType     = reflect.TypeFor[Size]()
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
)

func constraintOf(field reflect.StructField) constraint {
	c := constraint{
		form:    field.Tag.Get("form"),
		min:     field.Tag.Get("min"),
		max:     field.Tag.Get("max"),
		literal: '"',
		kind:    field.Type,
	}
	if kind := field.Type.Kind(); kind == reflect.Int || kind == reflect.Float64 {
		c.literal = '0'
	}
	return c
}

// expected describes the accepted values for an error message.
func (c constraint) expected() string {
	switch {
	case c.kind == durationType:
		return fmt.Sprintf(`a duration with a unit from %q to %q, such as "250ms"`, c.min, c.max)
	case c.kind == sizeType:
		return fmt.Sprintf(`a size with a unit from %q to %q, such as "64KiB"`, c.min, c.max)
	case c.kind.Kind() == reflect.Int:
		return fmt.Sprintf("a whole number from %s to %s", c.min, c.max)
	case c.kind.Kind() == reflect.Float64:
		return fmt.Sprintf("a number from %s to %s", c.min, c.max)
	}
	return describeForm(c.form)
}

func describeForm(form string) string {
	switch form {
	case "name":
		return "a name of 1 to 63 lower-case letters, digits, dots and hyphens"
	case "address":
		return `an IP address with a port, such as "10.0.0.7:7400"`
	case "url":
		return `an http or https URL without user, query or fragment, such as "http://10.0.0.1:7000"`
	case "switch":
		return `"on" or "off"`
	case "only off":
		return `"off"; "on" is not built: a daemon without contact to the log goes on with the keys it knows`
	case "file":
		return "the name of a file"
	case "level":
		return `"debug", "info", "warning" or "error"`
	case "access":
		return `"` + AccessOpen + `" or "` + AccessTokens + `"`
	case "address or nothing":
		return `an IP address with a port, such as "10.0.0.7:7400", or nothing`
	case "adapter":
		return `"` + AdapterNone + `" or "platform"`
	case "pace":
		return `"` + PaceDefault + `" or "` + PaceFast + `"`
	case "hash":
		return "64 lower-case hexadecimal digits, or nothing"
	default:
		return "a text"
	}
}

// accepts reports whether a decoded value satisfies the constraint.
func (c constraint) accepts(v reflect.Value) bool {
	switch {
	case v.Type() == durationType:
		d := time.Duration(v.Int())
		return d >= mustDuration(c.min) && d <= mustDuration(c.max)
	case v.Type() == sizeType:
		return v.Uint() >= mustSize(c.min) && v.Uint() <= mustSize(c.max)
	case v.Kind() == reflect.Int:
		return v.Int() >= mustInt(c.min) && v.Int() <= mustInt(c.max)
	}
	if v.Kind() == reflect.Float64 {
		// NaN fails both comparisons, so it is rejected.
		return v.Float() >= float64(mustInt(c.min)) && v.Float() <= float64(mustInt(c.max))
	}
	return matchesForm(c.form, v.String())
}

func matchesForm(form, text string) bool {
	switch form {
	case "name":
		return namePattern.MatchString(text)
	case "address":
		_, err := netip.ParseAddrPort(text)
		return err == nil
	case "url":
		return isBaseURL(text)
	case "switch":
		return text == SwitchOn || text == SwitchOff
	case "only off":
		return text == SwitchOff
	case "level":
		return text != "warn" && isLevel(text)
	case "access":
		return text == AccessOpen || text == AccessTokens
	case "address or nothing":
		return text == "" || matchesForm("address", text)
	case "adapter":
		return text == AdapterNone || text == "platform"
	case "pace":
		return text == PaceDefault || text == PaceFast
	case "hash":
		return text == "" || hashPattern.MatchString(text)
	default:
		return true
	}
}

func isBaseURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.User != nil {
		return false
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" {
		return false
	}
	return parsed.Scheme == "http" || parsed.Scheme == "https"
}

func isLevel(text string) bool {
	level, err := logrus.ParseLevel(text)
	return err == nil && level.String() == text && level >= logrus.ErrorLevel && level <= logrus.DebugLevel
}

func mustDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

func mustSize(text string) uint64 {
	size, err := humanize.ParseBytes(text)
	if err != nil {
		panic(err)
	}
	return size
}

func mustInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}
