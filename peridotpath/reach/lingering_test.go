package reach_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/outbound/linktest"
	"peridotpath.example/peridotpath/reach"
)

// A caller leaves while the link to the engine that runs its request is cut. The end of the connection
// is sent again at ever longer intervals, so that the engine works on for seconds after the link is back.
func TestEndIsToldAsSoonAsEndpointAnswersAgain(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialer := &reach.Dialer{
		Tracker: &reach.Tracker{Log: zerolog.Nop()}, Direct: outbound.DialDirect,
		Peers:  func(netip.AddrPort) []netip.AddrPort { return nil },
		Sample: func(int, netip.AddrPort) []*peridotpath.Endpoint { return nil },
	}
	dialer.Init()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- dialer.Run(ctx) }()
	defer func() {
		stop()
		is.True(errors.Is(<-ended, context.Canceled))
	}()
	connect := func() (client, server net.Conn) {
		client, err := dialer.Dial(t.Context(), "tcp", listener.Addr().String())
		is.NoErr(err)
		server, err = listener.Accept()
		is.NoErr(err)
		_, err = io.WriteString(client, "run")
		is.NoErr(err)
		_, err = io.ReadFull(server, make([]byte, 3))
		is.NoErr(err)
		return client, server
	}
	client, server := connect()
	is.NoErr(linktest.Cut(server))
	time.Sleep(400 * time.Millisecond)
	read := make(chan error, 1)
	go func() {
		_, err := client.Read(make([]byte, 1))
		read <- err
	}()
	is.NoErr(client.Close())
	select {
	case err := <-read:
		is.True(err != nil)
	case <-time.After(time.Second):
		t.Error("who reads the connection waits on after it is closed")
	}
	time.Sleep(3800 * time.Millisecond)
	is.NoErr(linktest.Heal(server))
	healedAt := time.Now()
	later, answering := connect()
	_, err = io.WriteString(answering, "answer")
	is.NoErr(err)
	_, err = io.ReadFull(later, make([]byte, 6))
	is.NoErr(err)
	_ = server.SetReadDeadline(time.Now().Add(8 * time.Second))
	_, err = server.Read(make([]byte, 1))
	took := time.Since(healedAt)
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the end, in whatever form
	t.Logf("told %v after the link was back", took)
	is.True(took < 500*time.Millisecond)
	is.NoErr(later.Close())
}

// A caller leaves a silent engine over a sound link: its connection must end at once, and not be kept.
func TestEndIsToldAtOnceOverSoundLink(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialer := &reach.Dialer{
		Tracker: &reach.Tracker{Log: zerolog.Nop()}, Direct: outbound.DialDirect,
		Peers: func(netip.AddrPort) []netip.AddrPort { return nil }, Sample: func(int, netip.AddrPort) []*peridotpath.Endpoint { return nil },
	}
	dialer.Init()
	client, err := dialer.Dial(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	server, err := listener.Accept()
	is.NoErr(err)
	defer server.Close()
	_, err = io.WriteString(client, "run")
	is.NoErr(err)
	time.Sleep(400 * time.Millisecond)
	is.NoErr(client.Close())
	_ = server.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	received, err := io.ReadAll(server)
	is.NoErr(err)
	is.Equal(string(received), "run")
}
