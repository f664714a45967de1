package responsehead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// CheckParsed checks what net/http has made of a head, for clients that do not see its bytes.
// Two kinds of framing at once can't be told from that.
func CheckParsed(response *http.Response) error {
	if response.ProtoMajor != 1 || response.StatusCode < 100 || response.StatusCode > 599 {
		return fmt.Errorf("%w: version %.20q, status %.20q", ErrInvalid, response.Proto, response.Status)
	}
	for name, values := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: name of a field %.40q", ErrInvalid, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: field %s has a control byte", ErrInvalid, name)
			}
		}
	}
	return nil
}
