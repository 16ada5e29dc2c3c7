package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// link is how a proxy treats the bytes that go through it.
type link int

// The links.
const (
	linkFine link = iota
	// linkSlow delays everything by slowness.
	linkSlow
	// linkSilent keeps connections open and passes nothing.
	linkSilent
	// linkOneWay passes what goes to the server, and nothing back.
	linkOneWay
	// linkReset resets connections, new ones as well.
	linkReset
)

const (
	slowness  = 60 * time.Millisecond
	linkCheck = 20 * time.Millisecond
)

// proxy stands between processes on loopback and does to their connections what
// networks do.
type proxy struct {
	Target netip.AddrPort

	at       netip.AddrPort
	mutex    sync.Mutex
	listener net.Listener
	link     link
	conns    map[net.Conn]bool
}

// listen opens the proxy on a free port, which stays its own while it is down.
func (proxy *proxy) listen() error {
	port, err := ports(1)
	if err != nil {
		return err
	}
	proxy.at, proxy.conns = loopback(port), map[net.Conn]bool{}
	return proxy.up()
}

// up listens at the proxy's address.
func (proxy *proxy) up() error {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	listener, err := net.Listen("tcp", proxy.at.String())
	proxy.listener = listener
	return err
}

// down ends all connections, and refuses new ones as a machine does on which nobody
// listens.
func (proxy *proxy) down() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.listener.Close()
	for conn := range proxy.conns {
		reset(conn)
	}
}

// accept takes the next connection.
func (proxy *proxy) accept() (net.Conn, error) {
	proxy.mutex.Lock()
	listener := proxy.listener
	proxy.mutex.Unlock()
	return listener.Accept()
}

// run passes connections on until ctx ends.
func (proxy *proxy) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, proxy.down)()
	for {
		conn, err := proxy.accept()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			// It is down for a while.
			time.Sleep(linkCheck)
			continue
		}
		go proxy.serve(ctx, conn)
	}
}

// set changes the link; a reset ends what is open.
func (proxy *proxy) set(link link) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.link = link
	if link == linkReset {
		for conn := range proxy.conns {
			reset(conn)
		}
	}
}

func (proxy *proxy) now() link {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.link
}

func (proxy *proxy) note(conn net.Conn, open bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if open {
		proxy.conns[conn] = true
	} else {
		delete(proxy.conns, conn)
	}
}

// reset closes a connection so that the peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (proxy *proxy) serve(ctx context.Context, conn net.Conn) {
	if proxy.now() == linkReset {
		reset(conn)
		return
	}
	upstream, err := net.DialTimeout("tcp", proxy.Target.String(), time.Second)
	if err != nil {
		reset(conn)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.Close(); upstream.Close() })()
	for _, end := range []net.Conn{conn, upstream} {
		proxy.note(end, true)
		defer proxy.note(end, false)
	}
	ended := make(chan struct{}, 2)
	go func() { proxy.copy(ctx, upstream, conn, false); ended <- struct{}{} }()
	go func() { proxy.copy(ctx, conn, upstream, true); ended <- struct{}{} }()
	<-ended
	<-ended
}

// copy passes bytes on while the link lets it; back says that they go to the
// caller.
func (proxy *proxy) copy(ctx context.Context, to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if !proxy.pass(ctx, back) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// pass waits while the link holds bytes of that direction; false when ctx ended.
func (proxy *proxy) pass(ctx context.Context, back bool) bool {
	for {
		switch now := proxy.now(); {
		case now == linkSlow:
			time.Sleep(slowness)
			return ctx.Err() == nil
		case now == linkSilent, now == linkOneWay && back:
			time.Sleep(linkCheck)
			if ctx.Err() != nil {
				return false
			}
		default:
			return ctx.Err() == nil
		}
	}
}
