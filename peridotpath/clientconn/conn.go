package clientconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"peridotpath.example/peridotpath/telemetry"
)

const (
	// bodyUnknown is the length of a body that has none, or whose head nobody has handled yet.
	bodyUnknown = -1
	// maxLineBreaks bounds the line breaks before a request that are ignored (RFC 9112, 2.2).
	maxLineBreaks = 64
	// refusalWriteTimeout bounds the write of a refusal, which fits the buffers of any socket.
	refusalWriteTimeout = 100 * time.Millisecond
	// discardTimeout bounds the time in which bytes behind a refusal are read and dropped, so that
	// the refusal is not lost in a reset.
	discardTimeout    = 500 * time.Millisecond
	discardBufferSize = 4 << 10
)

var (
	// unavailableAnswer promises that the request has not run: none is complete.
	unavailableAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 18\r\n\r\nno room for heads\n")
	tooLargeAnswer    = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 18\r\n\r\nhead is too large\n")
)

// ErrBodyAborted means that the connection was chosen to end while a body arrived. Its request is to
// be refused as not run.
var ErrBodyAborted = Error.New("connection makes room while its body arrives")

// Conn is a client's connection. It passes the bytes of one head at most to net/http before the
// request is handled, and tells its pool what they cost.
type Conn struct {
	net.Conn
	pool   *Pool
	member member

	closeOnce sync.Once
	closeErr  error

	// mutex guards the fields below. It is not held while bytes are read.
	mutex sync.Mutex
	// isPastHead is set from the end of a head until the connection waits for the next one. Until
	// then the deadlines of reads are the pool's, and not net/http's.
	isPastHead bool
	scanner    headScanner
	// headBytes are the bytes of the head that net/http has, and skipped the line breaks before it.
	headBytes, skipped int
	// hasReadAhead is set once net/http may hold bytes from behind a body of chunks, so that neither
	// the end of a head nor that of a body can be found here.
	hasReadAhead bool
	// early holds bytes that arrived with the end of a head.
	early []byte
	// bodyLeft is the number of bytes of the body that net/http has not read, or bodyUnknown.
	bodyLeft int64
	// isReceived is set when the body has been read to its end, and isAborted if it never will be.
	isReceived, isAborted bool
	// passed counts the bytes that net/http has read since the end of the head, and lastPassed are
	// the last of them.
	passed     int64
	lastPassed tail
}

type connKey struct{}

// WithConn returns a context for the requests of a connection. It is a ConnContext of http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if client, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, client)
	}
	return ctx
}

// Handle returns a handler that tells the pool what a request's body is, before next.
func Handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(writer, request)
			return
		}
		if request = conn.beginBody(request); request == nil {
			refuseHandled(writer)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// refuseHandled refuses a request whose head was parsed before its cost was known.
func refuseHandled(writer http.ResponseWriter) {
	writer.Header().Set("Retry-After", "1")
	writer.Header().Set("Connection", "close")
	http.Error(writer, "no room for heads", http.StatusServiceUnavailable)
}

// Read reads for net/http.
func (conn *Conn) Read(buffer []byte) (int, error) {
	conn.mutex.Lock()
	isPastHead := conn.isPastHead
	conn.mutex.Unlock()
	if isPastHead {
		return conn.readBody(buffer)
	}
	return conn.readHead(buffer)
}

// readHead reads a part of a head.
func (conn *Conn) readHead(buffer []byte) (int, error) {
	for {
		count, err := conn.readEarlyOr(buffer)
		if count == 0 {
			return 0, err
		}
		length, end := conn.takeHead(buffer[:count])
		switch {
		case end != nil:
			return 0, end
		case length > 0 || err != nil:
			return length, err
		}
	}
}

// readEarlyOr reads bytes that arrived with the last head, or else from the socket.
func (conn *Conn) readEarlyOr(buffer []byte) (int, error) {
	conn.mutex.Lock()
	if len(conn.early) > 0 {
		defer conn.mutex.Unlock()
		count := copy(buffer, conn.early)
		if conn.early = conn.early[count:]; len(conn.early) == 0 {
			conn.early = nil
		}
		return count, nil
	}
	conn.mutex.Unlock()
	return conn.Conn.Read(buffer)
}

// takeHead accounts for a piece that was read, and returns how much of it net/http gets now. It
// returns an error if the connection ends.
func (conn *Conn) takeHead(piece []byte) (length int, end error) {
	limits := conn.pool.HeadLimits()
	conn.mutex.Lock()
	if conn.isPastHead {
		// net/http had the whole head already, and asked in the background whether the client is there.
		conn.mutex.Unlock()
		return conn.takeBody(piece)
	}
	isFirst := conn.headBytes == 0
	if isFirst && !conn.hasReadAhead {
		if skipped := min(countLineBreaks(piece), maxLineBreaks-conn.skipped); skipped > 0 {
			conn.skipped += skipped
			copy(piece, piece[skipped:])
			piece = piece[:len(piece)-skipped]
		}
		if len(piece) == 0 {
			conn.mutex.Unlock()
			return 0, nil
		}
	}
	length, isWhole := conn.scanner.scan(piece)
	if conn.hasReadAhead {
		length, isWhole = len(piece), false
	}
	if length < len(piece) {
		conn.early = append(append([]byte(nil), piece[length:]...), conn.early...)
	}
	conn.headBytes += length
	headBytes, lines, hasReadAhead := conn.headBytes, conn.scanner.lines+1, conn.hasReadAhead
	if isWhole {
		conn.endHead()
	} else if isFirst {
		_ = conn.Conn.SetReadDeadline(time.Now().Add(limits.Timeout))
	}
	conn.mutex.Unlock()
	if headBytes > int(limits.MaxBytes) {
		conn.pool.recordEnd(telemetry.ConnectionHeadTooLarge)
		conn.refuse(tooLargeAnswer)
		return 0, io.EOF
	}
	if !conn.pool.receive(conn, headBytes, lines, hasReadAhead, isWhole) {
		conn.refuse(unavailableAnswer)
		return 0, io.EOF
	}
	return length, nil
}

// endHead makes the connection pass bytes on as they come. The caller holds the mutex.
func (conn *Conn) endHead() {
	conn.isPastHead = true
	conn.bodyLeft, conn.passed, conn.lastPassed, conn.isReceived = bodyUnknown, 0, tail{}, false
	_ = conn.Conn.SetReadDeadline(time.Time{})
}

// beginBody sets the length of a request's body and returns the request for its handler; nil if there
// is no room for its head, or if the connection was chosen to end meanwhile. net/http may already wait in the background for what follows a request
// without a body.
func (conn *Conn) beginBody(request *http.Request) *http.Request {
	conn.mutex.Lock()
	isUnseen := conn.headBytes == 0
	if !conn.isPastHead {
		conn.endHead()
	}
	conn.hasReadAhead = conn.hasReadAhead || isUnseen
	isCounted := request.ContentLength >= 0 && !conn.hasReadAhead
	if isCounted {
		conn.bodyLeft = max(0, request.ContentLength-conn.passed)
	}
	hasReadAhead := conn.hasReadAhead
	conn.mutex.Unlock()
	if hasReadAhead {
		bytes, lines := headSize(request)
		if !conn.pool.receive(conn, bytes, lines, false, true) {
			return nil
		}
	}
	if request.ContentLength == 0 {
		if !conn.finishBody() {
			return nil
		}
		return request
	}
	if !isCounted {
		// A copy, since net/http looks at the body of its own.
		request = request.WithContext(request.Context())
		request.Body = &uncountedBody{ReadCloser: request.Body, conn: conn}
	}
	return request
}

// headSize returns the size of a head that net/http has parsed, in bytes and lines.
func headSize(request *http.Request) (bytes, lines int) {
	const separators = len(": \r\n")
	bytes, lines = len(request.RequestURI), 1
	for name, values := range request.Header {
		for _, value := range values {
			bytes += len(name) + len(value) + separators
		}
		lines += len(values)
	}
	return bytes, lines
}

// finishBody records that the request has been received to its end. It reports false if the
// connection was chosen to end before.
func (conn *Conn) finishBody() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.isAborted {
		return false
	}
	conn.isReceived = true
	conn.pool.received(conn)
	return true
}

// readBody reads a part of a body, or what follows it while the request is served.
func (conn *Conn) readBody(buffer []byte) (int, error) {
	for {
		conn.mutex.Lock()
		switch {
		case conn.bodyLeft > 0:
			buffer = buffer[:min(int64(len(buffer)), conn.bodyLeft)]
		case conn.bodyLeft == 0:
			// The next head begins here; net/http only asks whether the client is there.
			buffer = buffer[:1]
		}
		conn.mutex.Unlock()
		count, err := conn.readEarlyOr(buffer)
		passed, end := conn.takeBody(buffer[:count])
		switch {
		case end != nil:
			return 0, end
		case passed > 0 || err != nil || count == 0:
			return passed, err
		}
	}
}

// takeBody accounts for bytes that were read behind a head, and returns how many of them net/http
// gets.
func (conn *Conn) takeBody(piece []byte) (passed int, end error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.isAborted {
		return 0, ErrBodyAborted
	}
	if conn.bodyLeft == 0 && countLineBreaks(piece) == len(piece) && conn.skipped+len(piece) <= maxLineBreaks {
		conn.skipped += len(piece)
		return 0, nil
	}
	conn.passed += int64(len(piece))
	switch {
	case conn.bodyLeft > 0:
		if conn.bodyLeft -= int64(len(piece)); conn.bodyLeft == 0 {
			conn.passed, conn.isReceived = 0, true
			conn.pool.received(conn)
		}
	case conn.bodyLeft == bodyUnknown:
		conn.lastPassed.add(piece)
	}
	return len(piece), nil
}

// startWaiting begins the wait for the first head.
func (conn *Conn) startWaiting() {
	_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.pool.HeadLimits().IdleTimeout))
}

// awaitHead begins the wait for the next head.
func (conn *Conn) awaitHead() {
	limits := conn.pool.HeadLimits()
	conn.mutex.Lock()
	conn.isPastHead = false
	conn.scanner, conn.skipped, conn.headBytes = headScanner{}, 0, 0
	if conn.bodyLeft == 0 {
		// A byte that was read in the background belongs to the head.
		conn.headBytes, conn.scanner.lineLength = int(conn.passed), int(conn.passed)
	} else if !conn.lastPassed.endsChunks() {
		conn.hasReadAhead = true
	}
	headBytes, hasReadAhead, wait := conn.headBytes, conn.hasReadAhead, limits.IdleTimeout
	if headBytes > 0 {
		wait = limits.Timeout
	}
	_ = conn.Conn.SetReadDeadline(time.Now().Add(wait))
	conn.mutex.Unlock()
	switch {
	case !hasReadAhead && headBytes == 0:
		conn.pool.wait(conn)
	case !conn.pool.receive(conn, headBytes, 1, hasReadAhead, false):
		_ = conn.end()
	}
}

// handOver ends the pool's part in what the connection carries: it is not HTTP any more.
func (conn *Conn) handOver() {
	conn.mutex.Lock()
	if !conn.isPastHead {
		conn.endHead()
	}
	conn.bodyLeft, conn.isReceived = bodyUnknown, true
	conn.mutex.Unlock()
	conn.pool.handOver(conn)
}

// SetReadDeadline sets the deadline of reads behind a head. Those before are the pool's.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.isPastHead || conn.isAborted {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadlines of reads and writes.
func (conn *Conn) SetDeadline(deadline time.Time) error {
	return errors.Join(conn.SetReadDeadline(deadline), conn.SetWriteDeadline(deadline))
}

// abortBody ends the reads of a body that has not arrived whole, so that its handler refuses the
// request.
func (conn *Conn) abortBody() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.isPastHead && !conn.isReceived {
		conn.isAborted = true
		_ = conn.Conn.SetReadDeadline(time.Now())
	}
}

// write writes an answer for a request that net/http has not read.
func (conn *Conn) write(answer []byte) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = conn.Write(answer)
}

// refuse answers a head that is not passed on, and drops what still arrives.
func (conn *Conn) refuse(answer []byte) {
	conn.write(answer)
	if writer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		_ = writer.CloseWrite()
	}
	_ = conn.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
	buffer := make([]byte, discardBufferSize)
	for {
		if _, err := conn.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// end closes the socket. net/http then closes the connection.
func (conn *Conn) end() error {
	conn.closeOnce.Do(func() { conn.closeErr = conn.Conn.Close() })
	return conn.closeErr
}

// Close closes the connection and gives back what the pool holds for it.
func (conn *Conn) Close() error {
	defer conn.pool.closed(conn)
	return conn.end()
}

// SyscallConn returns the socket, for questions to the kernel.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, Error.New("want a socket, got %T", conn.Conn)
	}
	return socket.SyscallConn()
}

// SetLinger sets what a close does with bytes that are not sent, as net.TCPConn does.
func (conn *Conn) SetLinger(seconds int) error {
	socket, ok := conn.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return Error.New("want a TCP connection, got %T", conn.Conn)
	}
	return socket.SetLinger(seconds)
}

// uncountedBody is a body whose end only net/http finds.
type uncountedBody struct {
	io.ReadCloser
	conn *Conn
}

func (body *uncountedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && !body.conn.finishBody() {
		return count, ErrBodyAborted
	}
	return count, err
}
