package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
)

const readHeaderTimeout = 5 * time.Second

// serve runs an HTTP server until ctx ends.
func serve(ctx context.Context, name, address string, handler http.Handler) subcommands.ExitStatus {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	fmt.Printf("event=listening stand_in=%s address=%s\n", name, address)
	var err error
	select {
	case err = <-ended:
	case <-ctx.Done():
		_ = server.Close()
		err = <-ended
	}
	if errors.Is(err, http.ErrServerClosed) {
		return subcommands.ExitSuccess
	}
	fmt.Fprintf(os.Stderr, "standin %s: %v\n", name, err)
	return subcommands.ExitFailure
}
