package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// proxyBuffer is the buffer size in bytes for each direction.
const proxyBuffer = 32 << 10

// proxy forwards TCP connections to one address and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	tasks    conc.WaitGroup

	mu sync.Mutex
	// delay is added to each read in either direction.
	delay time.Duration
	// dropResponses drops the bytes sent by the target, on existing and new
	// connections.
	dropResponses bool
	conns         map[*proxiedConn]bool
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	client, server net.Conn
	// blackholed drops all further bytes in both directions.
	blackholed bool
}

// newProxy listens on an address until ctx ends.
func newProxy(ctx context.Context, address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*proxiedConn]bool)}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.reset()
	})
	p.tasks.Go(func() { p.accept(ctx) })
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.serve(ctx, client) })
	}
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	c := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var directions conc.WaitGroup
	directions.Go(func() { p.copy(ctx, c, client, server, false) })
	directions.Go(func() { p.copy(ctx, c, server, client, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards one direction until it fails, then closes both connections.
func (p *proxy) copy(ctx context.Context, c *proxiedConn, from, to net.Conn, responses bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay, drop := p.delay, c.blackholed || responses && p.dropResponses
		p.mu.Unlock()
		if delay > 0 && !wait.For(ctx, delay) {
			return
		}
		if drop {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// reset resets the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c.client)
		abort(c.server)
	}
}

// blackhole drops all further bytes on the open connections.
func (p *proxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed = true
	}
}

func (p *proxy) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

func (p *proxy) setDropResponses(dropResponses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropResponses = dropResponses
}
