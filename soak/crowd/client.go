// Package crowd plays clients that nobody controls against a real instance: heads without end,
// heads that cost more than they are long, connections that say nothing, answers that nobody
// reads. Each crowd has a fixed size; what it may cost is what the instance's settings grant.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// returnDelay is the time after which a client whose connection has ended comes again.
	returnDelay = 10 * time.Millisecond
)

// Client plays one client on one connection until the connection or ctx ends.
type Client func(ctx context.Context, conn net.Conn)

// Crowd is a number of clients of one kind that come again when their connection has ended.
type Crowd struct {
	Address netip.AddrPort
	Clients int
	Play    Client
}

// Run plays the crowd until ctx ends, and returns the number of connections that were opened.
func (crowd *Crowd) Run(ctx context.Context) int64 {
	var opened atomic.Int64
	var clients sync.WaitGroup
	for range crowd.Clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				if crowd.connect(ctx) {
					opened.Add(1)
				}
				sleep(ctx, returnDelay)
			}
		})
	}
	clients.Wait()
	return opened.Load()
}

// connect plays one connection, and reports whether it was opened.
func (crowd *Crowd) connect(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", crowd.Address.String())
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	crowd.Play(ctx, conn)
	return true
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// awaitClose reads until the connection ends.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// head is the beginning of a head that an instance serves once it is whole.
const head = "POST /look/x HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token desk-1\r\n"

// distinctLines returns header lines of about size bytes, no two of them alike.
func distinctLines(size int) string {
	var lines strings.Builder
	for number := int64(36 * 36 * 36); lines.Len() < size; number++ {
		lines.WriteString(strconv.FormatInt(number, 36))
		lines.WriteString(":\n")
	}
	return lines.String()
}

// Holding sends text, and nothing after it.
func Holding(text string) Client {
	return func(_ context.Context, conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		awaitClose(conn)
	}
}

// Repeating sends begin, and then text again and again.
func Repeating(begin, text string) Client {
	piece := strings.Repeat(text, 1+(16<<10)/len(text))
	return func(_ context.Context, conn net.Conn) {
		go awaitClose(conn)
		if _, err := io.WriteString(conn, begin); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
	}
}

// Dripping sends text at a rate of piece bytes in each interval, and nothing after it.
func Dripping(text string, piece int, interval time.Duration) Client {
	return func(ctx context.Context, conn net.Conn) {
		go awaitClose(conn)
		for rest := text; rest != "" && ctx.Err() == nil; sleep(ctx, interval) {
			length := min(piece, len(rest))
			if _, err := io.WriteString(conn, rest[:length]); err != nil {
				return
			}
			rest = rest[length:]
		}
		<-ctx.Done()
	}
}

// Requesting sends the requests that next makes, one behind the other, and reads the answers.
func Requesting(next func() string) Client {
	return func(_ context.Context, conn net.Conn) {
		go awaitClose(conn)
		for {
			if _, err := io.WriteString(conn, next()); err != nil {
				return
			}
		}
	}
}

// NeverReading sends a request again and again, and reads no answer.
func NeverReading(request string) Client {
	return func(_ context.Context, conn net.Conn) {
		for {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
	}
}

// uniqueRequests returns a function that makes requests whose words are never the same.
func uniqueRequests() func() string {
	var count atomic.Int64
	return func() string {
		number := count.Add(1)
		word := func(length int) string {
			prefix := fmt.Sprintf("%x", number)
			return prefix + strings.Repeat("w", max(0, length-len(prefix)))
		}
		var parts strings.Builder
		for part := range 200 {
			fmt.Fprintf(&parts, "%x%x:10,", number, part)
		}
		return "POST /look/" + word(2500) + " HTTP/1.1\r\nHost: " + word(200) + ".example\r\nX-Peridotpath-Attempt-Id: " + word(1000) +
			"\r\nAuthorization: Token " + word(1000) + "\r\nX-Peridotpath-Prefix-Hash: " + parts.String() + "1:1\r\nContent-Length: 0\r\n\r\n"
	}
}
