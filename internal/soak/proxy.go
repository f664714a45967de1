package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// proxyBuffer is the length in bytes of the buffer of one direction.
const proxyBuffer = 32 << 10

// proxy passes TCP connections on to one address and harms them.
type proxy struct {
	listener net.Listener
	target   string
	tasks    conc.WaitGroup

	mu sync.Mutex
	// delay is added to each read of either direction.
	delay time.Duration
	// mute loses what the target answers, on old and new connections.
	mute  bool
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	// silent loses the bytes of both directions from now on.
	silent bool
}

// newProxy serves at an address until ctx ends.
func newProxy(ctx context.Context, address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: make(map[*link]bool)}
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
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var directions conc.WaitGroup
	directions.Go(func() { p.copy(ctx, l, client, server, false) })
	directions.Go(func() { p.copy(ctx, l, server, client, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy passes one direction on until it ends, then ends the connection.
func (p *proxy) copy(ctx context.Context, l *link, from, to net.Conn, answers bool) {
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
		delay, lost := p.delay, l.silent || answers && p.mute
		p.mu.Unlock()
		if delay > 0 && !wait.For(ctx, delay) {
			return
		}
		if lost {
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
	for l := range p.links {
		abort(l.client)
		abort(l.server)
	}
}

// silence loses all further bytes of the open connections.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

func (p *proxy) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

func (p *proxy) setMute(mute bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mute = mute
}
