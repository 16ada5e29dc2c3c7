package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
)

const engineUsage = `engine [-address IP:PORT] [-prefill-per-s N] [-decode-per-s N] [-kv-tokens N]
  Plays a model engine.
`

type engineCommand struct {
	address  string
	prefill  int64
	decode   int64
	kvTokens int64
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "plays a model engine" }
func (*engineCommand) Usage() string    { return engineUsage }

func (command *engineCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7100", "where to listen")
	flags.Int64Var(&command.prefill, "prefill-per-s", 100_000, "prompt tokens processed in a second")
	flags.Int64Var(&command.decode, "decode-per-s", 50, "answer tokens in a second")
	flags.Int64Var(&command.kvTokens, "kv-tokens", 400_000, "KV memory in tokens")
}

func (command *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, command.complete)
	mux.HandleFunc("POST "+engine.PathChatCompletions, command.complete)
	mux.HandleFunc("GET "+engine.PathLoad, command.load)
	return serve(ctx, command.Name(), command.address, mux)
}

func (command *engineCommand) load(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(peridotpath.Load{
		KVTokens:    peridotpath.Tokens(command.kvTokens),
		PrefillPerS: peridotpath.Tokens(command.prefill),
		DecodePerS:  peridotpath.Tokens(command.decode),
	})
}

func (command *engineCommand) complete(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	output := max(gjson.GetBytes(body, "max_tokens").Int(), 1)
	time.Sleep(time.Duration(len(body)/4) * time.Second / time.Duration(command.prefill))
	writer.Header().Set("Content-Type", "text/event-stream")
	for i := range output {
		fmt.Fprintf(writer, "id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":\"t%d \",\"delta\":{\"content\":\"t%d \"}}]}\n\n", i, i, i)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(time.Second / time.Duration(command.decode))
	}
	fmt.Fprintf(writer, "id: %d\ndata: [DONE]\n\n", output)
}
