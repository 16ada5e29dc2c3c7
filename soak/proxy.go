package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath/outbound/linktest"
)

// link is the state of the network that a proxy simulates.
type link int

// The states of a link.
const (
	linkHealthy link = iota
	// linkSlow delays each chunk of data by linkDelay.
	linkSlow
	// linkBlackhole keeps connections open and forwards nothing.
	linkBlackhole
	// linkOneWay forwards data to the server and holds back data to the client.
	linkOneWay
	// linkReset resets open and new connections.
	linkReset
	// linkNewReset resets new connections; open ones go on.
	linkNewReset
	// linkCut drops all packets of a client: its kernel keeps what is not acknowledged and sends it
	// again. It is for single clients only.
	linkCut
)

const (
	linkDelay        = 60 * time.Millisecond
	linkPollInterval = 20 * time.Millisecond
)

// proxy is a TCP proxy between processes on loopback that simulates network faults.
type proxy struct {
	Target netip.AddrPort

	address  netip.AddrPort
	mutex    sync.Mutex
	listener net.Listener
	link     link
	// sourceLinks are the links of single clients, by the address that they connect from; others
	// have link.
	sourceLinks map[netip.Addr]link
	// disturbedUntil is when the link was last disturbed; in the future while it is.
	disturbedUntil time.Time
	conns          map[net.Conn]bool
	// disturbances are the spans in which a link is not healthy.
	disturbances []disturbance
}

// disturbance is a span in which the link of a client is not healthy; those of all clients if source
// is the zero address.
type disturbance struct {
	span
	source netip.Addr
	state  link
}

// concerns reports whether the disturbance is one of the client's link between two times. The zero
// address stands for any client.
func (disturbance *disturbance) concerns(source netip.Addr, from, until time.Time) bool {
	isOfClient := !source.IsValid() || !disturbance.source.IsValid() || disturbance.source == source
	return isOfClient && disturbance.overlaps(from, until)
}

// listen starts the proxy on a free port, which it reuses after stop.
func (proxy *proxy) listen() error {
	port, err := findFreePorts(1)
	if err != nil {
		return err
	}
	proxy.address, proxy.conns = loopback(port), map[net.Conn]bool{}
	return proxy.start()
}

// start listens at the proxy's address.
func (proxy *proxy) start() error {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	listener, err := net.Listen("tcp", proxy.address.String())
	proxy.listener = listener
	proxy.recordLink(netip.Addr{}, proxy.link)
	return err
}

// stop resets all connections and closes the listener, so that new connections are
// refused.
func (proxy *proxy) stop() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.listener.Close()
	proxy.recordLink(netip.Addr{}, linkReset)
	for conn := range proxy.conns {
		reset(conn)
	}
}

// accept returns the next connection.
func (proxy *proxy) accept() (net.Conn, error) {
	proxy.mutex.Lock()
	listener := proxy.listener
	proxy.mutex.Unlock()
	return listener.Accept()
}

// run forwards connections until ctx ends.
func (proxy *proxy) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, proxy.stop)()
	for {
		conn, err := proxy.accept()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			// The listener is closed until start reopens it.
			time.Sleep(linkPollInterval)
			continue
		}
		go proxy.handle(ctx, conn)
	}
}

// setLink changes the link; linkReset also resets open connections.
func (proxy *proxy) setLink(link link) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.link, proxy.disturbedUntil = link, time.Now()
	proxy.recordLink(netip.Addr{}, link)
	if link != linkHealthy {
		proxy.disturbedUntil = time.Now().Add(time.Hour)
	}
	if link == linkReset {
		for conn := range proxy.conns {
			reset(conn)
		}
	}
}

// recordLink records the state of a client's link from now on. The caller holds the mutex.
func (proxy *proxy) recordLink(source netip.Addr, state link) {
	now := time.Now()
	for i := range proxy.disturbances {
		if disturbance := &proxy.disturbances[i]; disturbance.source == source && disturbance.until.IsZero() {
			disturbance.until = now
		}
	}
	if state != linkHealthy {
		proxy.disturbances = append(proxy.disturbances, disturbance{span: span{from: now}, source: source, state: state})
	}
}

// wasResetBetween reports whether connections of a client, or of any if source is the zero
// address, were reset between two times.
func (proxy *proxy) wasResetBetween(source netip.Addr, from, until time.Time) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return slices.ContainsFunc(proxy.disturbances, func(disturbance disturbance) bool {
		isReset := disturbance.state == linkReset || disturbance.state == linkNewReset
		return isReset && disturbance.concerns(source, from, until)
	})
}

// hasHeldBetween reports whether the proxy held back data of a client between two times, which it had
// acknowledged.
func (proxy *proxy) hasHeldBetween(source netip.Addr, from, until time.Time) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return slices.ContainsFunc(proxy.disturbances, func(disturbance disturbance) bool {
		holds := disturbance.state == linkSlow || disturbance.state == linkBlackhole || disturbance.state == linkOneWay
		return holds && disturbance.concerns(source, from, until)
	})
}

// hasSettledSince reports whether the link has been undisturbed since the time.
func (proxy *proxy) hasSettledSince(since time.Time) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.disturbedUntil.Before(since)
}

// setSourceLink changes the link of one client; linkReset also resets its open connections.
func (proxy *proxy) setSourceLink(source netip.Addr, state link) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.sourceLinks == nil {
		proxy.sourceLinks = map[netip.Addr]link{}
	}
	proxy.sourceLinks[source] = state
	proxy.recordLink(source, state)
	proxy.cutSources()
	for conn := range proxy.conns {
		if sourceOf(conn) == source {
			setCut(conn, state == linkCut)
		}
	}
	if state != linkReset {
		return
	}
	for conn := range proxy.conns {
		if sourceOf(conn) == source {
			reset(conn)
		}
	}
}

// cutSources makes new connections of the clients hang whose links are cut. The caller holds the mutex.
func (proxy *proxy) cutSources() {
	var sources []netip.Addr
	for source, state := range proxy.sourceLinks {
		if state == linkCut {
			sources = append(sources, source)
		}
	}
	// It fails only for a listener that is closed.
	_ = linktest.CutSources(proxy.listener, sources...)
}

// setCut makes the kernel drop what arrives on a connection, or ends that.
func setCut(conn net.Conn, isCut bool) {
	// Both fail for a connection that is closed, and the second one where nothing is dropped.
	if isCut {
		_ = linktest.Cut(conn)
		return
	}
	_ = linktest.Heal(conn)
}

// currentLink returns the state of the link of the client with an address.
func (proxy *proxy) currentLink(source netip.Addr) link {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.link == linkHealthy {
		return proxy.sourceLinks[source]
	}
	return proxy.link
}

// sourceOf returns the address from which a connection was opened.
func sourceOf(conn net.Conn) netip.Addr {
	return netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr()
}

func (proxy *proxy) trackConn(conn net.Conn, isOpen bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if isOpen {
		proxy.conns[conn] = true
	} else {
		delete(proxy.conns, conn)
	}
}

// reset closes a connection with a TCP RST.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (proxy *proxy) handle(ctx context.Context, conn net.Conn) {
	source := sourceOf(conn)
	if link := proxy.currentLink(source); link == linkReset || link == linkNewReset {
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
		proxy.trackConn(end, true)
		defer proxy.trackConn(end, false)
	}
	// The connection has the filter that the listener had when it was opened.
	setCut(conn, proxy.currentLink(source) == linkCut)
	ended := make(chan struct{}, 2)
	go func() { proxy.forward(ctx, upstream, conn, source, false); ended <- struct{}{} }()
	go func() { proxy.forward(ctx, conn, upstream, source, true); ended <- struct{}{} }()
	<-ended
	<-ended
}

// forward copies data from one connection to the other, subject to the state of the link of
// the client at source. toClient is true for the direction to the client.
func (proxy *proxy) forward(ctx context.Context, to, from net.Conn, source netip.Addr, toClient bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if !proxy.awaitLink(ctx, source, toClient) {
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

// awaitLink delays data by the state of the link: by linkDelay if the link is slow, and for
// as long as the link forwards nothing in the direction of the data. toClient is true for
// data to the client. It returns false if ctx has ended.
func (proxy *proxy) awaitLink(ctx context.Context, source netip.Addr, toClient bool) bool {
	for {
		switch now := proxy.currentLink(source); {
		case now == linkSlow:
			time.Sleep(linkDelay)
			return ctx.Err() == nil
		case now == linkBlackhole, (now == linkOneWay || now == linkCut) && toClient:
			time.Sleep(linkPollInterval)
			if ctx.Err() != nil {
				return false
			}
		default:
			return ctx.Err() == nil
		}
	}
}
