package peer

import (
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
)

// maxHelloBytes limits the size of an encoded Hello message.
const maxHelloBytes = 4 << 10

// writeHello sends the identity of this daemon and the kind of the connection.
func writeHello(w io.Writer, self Identity, kind string) error {
	_, err := protodelim.MarshalTo(w, &Hello{
		Host:        self.Host,
		Zone:        self.Zone,
		Region:      self.Region,
		Incarnation: self.Incarnation,
		Kind:        kind,
	})
	return err
}

// readHello reads the identity of the other daemon and the kind of the connection.
func readHello(r io.Reader) (Identity, string, error) {
	var hello Hello
	options := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := options.UnmarshalFrom(byteReader{r}, &hello); err != nil {
		return Identity{}, "", err
	}
	identity := Identity{
		Host:        hello.GetHost(),
		Zone:        hello.GetZone(),
		Region:      hello.GetRegion(),
		Incarnation: hello.GetIncarnation(),
	}
	return identity, hello.GetKind(), nil
}

// byteReader reads single bytes without buffering, so that the data after the Hello
// message stays unread in the connection.
type byteReader struct{ io.Reader }

func (r byteReader) ReadByte() (byte, error) {
	var buf [1]byte
	_, err := io.ReadFull(r.Reader, buf[:])
	return buf[0], err
}
