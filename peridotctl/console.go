package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath/operator"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

// console holds the streams, settings and dependencies shared by all commands.
type console struct {
	in       io.Reader
	out, err io.Writer
	// newID generates a change id.
	newID func() string
	// sleep returns after the duration or when ctx is done.
	sleep func(ctx context.Context, span time.Duration)

	servers string
	who     string
	json    bool
}

// setFlags registers the flags common to all commands.
func (console *console) setFlags(flags *flag.FlagSet) {
	flags.BoolVar(&console.json, "json", console.json, "print JSON")
	flags.Func("servers", "peer `addresses` of instances, IP:PORT, separated by commas; else PERIDOTCTL_SERVERS", stringSetter(&console.servers))
	flags.Func("who", "your `name` for the history of changes; else USER", stringSetter(&console.who))
}

// stringSetter returns a flag.Func setter for field. Unlike StringVar it keeps the
// default from the environment out of the help text.
func stringSetter(field *string) func(value string) error {
	return func(value string) error {
		*field = value
		return nil
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// callTimeout bounds one call. It exceeds the 15 s within which an instance
// completes a change.
const callTimeout = 20 * time.Second

// clients returns a client for each configured server, in order.
func (console *console) clients() ([]pb.Operator, error) {
	if console.servers == "" {
		return nil, &exitError{exitUsage, "no instance to call: give --servers or PERIDOTCTL_SERVERS"}
	}
	var clients []pb.Operator
	for _, server := range strings.Split(console.servers, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(server))
		if err != nil {
			return nil, &exitError{exitUsage, "--servers: " + err.Error()}
		}
		clients = append(clients, operator.Connect(address))
	}
	return clients, nil
}

// method is a method expression of the service's client.
type method[Request, Response any] func(pb.Operator, context.Context, *Request) (*Response, error)

// callAny calls one instance after another until one responds. It is for read-only
// calls.
func callAny[Request, Response any](ctx context.Context, console *console, method method[Request, Response], request *Request) (*Response, error) {
	clients, err := console.clients()
	if err != nil {
		return nil, err
	}
	for _, client := range clients {
		var response *Response
		if response, err = call(ctx, client, method, request); err == nil || isDefinitive(err) {
			return response, err
		}
	}
	return nil, err
}

func call[Request, Response any](ctx context.Context, client pb.Operator, method method[Request, Response], request *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return method(client, ctx, request)
}

// isDefinitive reports whether the error would be the same on any other instance.
func isDefinitive(err error) bool {
	var failure twirp.Error
	return errors.As(err, &failure) && (failure.Code() == twirp.NotFound || failure.Code() == twirp.InvalidArgument)
}

func isNotFound(err error) bool {
	var failure twirp.Error
	return errors.As(err, &failure) && failure.Code() == twirp.NotFound
}

// callAndShow calls any instance and prints the response. It accepts no arguments.
func callAndShow[Request, Response any, Message interface {
	*Response
	proto.Message
}](ctx context.Context, console *console, args []string, method method[Request, Response], request *Request, table func(out io.Writer, response *Response)) error {
	if len(args) > 0 {
		return errUsage
	}
	response, err := callAny(ctx, console, method, request)
	if err != nil {
		return err
	}
	return console.show(Message(response), func(out io.Writer) { table(out, response) })
}

// show prints a message as JSON or, without --json, as a table.
func (console *console) show(message proto.Message, table func(out io.Writer)) error {
	if !console.json {
		writer := tabwriter.NewWriter(console.out, 0, 0, 2, ' ', 0)
		table(writer)
		return writer.Flush()
	}
	options := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	text, err := options.Marshal(message)
	if err != nil {
		return err
	}
	console.showJSON(json.RawMessage(text))
	return nil
}

// showJSON prints a value as indented JSON.
func (console *console) showJSON(value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		fmt.Fprintf(console.err, "peridotctl: %v\n", err)
		return
	}
	fmt.Fprintln(console.out, string(text))
}

// read returns a file's content, or the standard input for "-".
func (console *console) read(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(console.in)
	}
	return os.ReadFile(path)
}

// compact returns JSON without insignificant whitespace.
func compact(text string) string {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, []byte(text)); err != nil {
		return text
	}
	return buffer.String()
}
