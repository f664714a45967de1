package peer

import (
	"errors"
	"net"
)

// maxFrameBytes limits the content of a frame. Daemons split messages into frames of 64 KiB,
// and a frame is buffered whole before its content is joined to the packet.
const maxFrameBytes = 256 << 10

var errFrameTooLong = errors.New("frame is too long")

// packetObserver is a connection that accounts the packets received on it.
type packetObserver interface {
	// ObservePacket is told the bytes received of a packet, and whether it is whole.
	ObservePacket(length int, whole bool)
}

// meterPackets returns a connection that tells the observer within raw of the packets that
// are read, or conn itself if there is none.
func meterPackets(conn, raw net.Conn) net.Conn {
	for raw != nil {
		if observer, ok := raw.(packetObserver); ok {
			return &meteredConn{Conn: conn, observer: observer}
		}
		wrapper, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		raw = wrapper.NetConn()
	}
	return conn
}

// meteredConn observes the packets that are read.
type meteredConn struct {
	net.Conn
	observer packetObserver
	meter    packetMeter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		largest, whole := c.meter.add(p[:n])
		c.observer.ObservePacket(largest, whole)
		if c.meter.tooLong {
			return 0, errFrameTooLong
		}
	}
	return n, err
}

// headVarints is the number of varints after the first byte of a frame: the stream, the
// message, and the length of the content.
const headVarints = 3

// packetMeter finds the ends of packets in the frames of the protocol. What is not a valid
// frame ends the connection elsewhere.
type packetMeter struct {
	// packet is the number of bytes received of the packet.
	packet int
	// inHead says that the first byte of the frame has been received, done that the frame
	// is the last one of its packet.
	inHead, done bool
	// varints is the number of varints received of the frame's head, shift that of the
	// bits of the next one.
	varints int
	shift   uint
	// content is the number of bytes of the frame's content that are to come.
	content uint64
	// tooLong says that a frame had more content than maxFrameBytes.
	tooLong bool
}

// add takes the bytes that were received next. It returns the largest packet among them,
// whole or not, and whether one is whole.
func (m *packetMeter) add(p []byte) (largest int, whole bool) {
	for len(p) > 0 {
		taken := 1
		if m.inHead || m.content == 0 {
			m.addHead(p[0])
		} else {
			taken = int(min(uint64(len(p)), m.content))
			m.content -= uint64(taken)
		}
		m.packet += taken
		p = p[taken:]
		largest = max(largest, m.packet)
		if !m.inHead && m.content == 0 && m.done {
			whole, m.packet, m.done = true, 0, false
		}
	}
	return largest, whole
}

// addHead takes a byte of a frame's head.
func (m *packetMeter) addHead(b byte) {
	if !m.inHead {
		*m = packetMeter{packet: m.packet, inHead: true, done: b&1 != 0, tooLong: m.tooLong}
		return
	}
	if m.varints == headVarints-1 {
		m.content |= uint64(b&0x7f) << m.shift
	}
	m.shift += 7
	if b&0x80 == 0 {
		m.varints, m.shift = m.varints+1, 0
	}
	m.inHead = m.varints < headVarints
	m.tooLong = m.tooLong || !m.inHead && m.content > maxFrameBytes
}
