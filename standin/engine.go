package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine/enginetest"
)

const engineUsage = `engine [-address IP:PORT] [-prefill-per-s N] [-decode-per-s N] [-kv-tokens N] ...
  Plays a model engine. docs/STANDIN.md describes its HTTP form, its settings
  and the faults that POST /faults switches on.
`

type engineCommand struct {
	address string
	engine  enginetest.Engine
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "plays a model engine" }
func (*engineCommand) Usage() string    { return engineUsage }

// tokensFlag defines a flag whose value is a number of tokens.
func tokensFlag(flags *flag.FlagSet, tokens *peridotpath.Tokens, name string, value int64, usage string) {
	flags.Int64Var((*int64)(tokens), name, value, usage)
}

func (command *engineCommand) SetFlags(flags *flag.FlagSet) {
	engine := &command.engine
	flags.StringVar(&command.address, "address", "127.0.0.1:7100", "where to listen")
	flags.StringVar(&engine.Name, "name", "engine", "part of the stream ids")
	tokensFlag(flags, &engine.PrefillPerS, "prefill-per-s", 100_000, "prompt tokens processed in a second")
	tokensFlag(flags, &engine.DecodePerS, "decode-per-s", 50, "answer tokens that one stream gets in a second")
	tokensFlag(flags, &engine.KVTokens, "kv-tokens", 400_000, "KV memory in tokens")
	flags.IntVar(&engine.MaxFullRateStreams, "batch", 32, "streams that decode at full rate")
	flags.IntVar(&engine.MaxWaitingPrompts, "max-waiting", 256, "prompts that may wait for their prefill")
	flags.DurationVar(&engine.MinLoadReportAge, "load-lag", 200*time.Millisecond, "age of a load report, at least")
	flags.DurationVar(&engine.CacheEventDelay, "cache-event-lag", 500*time.Millisecond, "delay of cache events")
	flags.Float64Var(&engine.CacheEventLossRate, "cache-event-loss", 0.01, "part of the cache events that get lost")
	flags.BoolVar(&engine.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	flags.DurationVar(&engine.WeightLoadTime, "weight-load", 2*time.Second, "time to load other weights")
	flags.DurationVar(&engine.DetachedRetention, "detached-hold", 0, "keep a stream without a reader for so long; 0: until it is cancelled")
	flags.Uint64Var(&engine.RandomSeed, "seed", 1, "seed of what is random")
}

func (command *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- command.engine.Run(ctx) }()
	status := serve(ctx, command.Name(), command.address, command.engine.Handler())
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		fmt.Fprintf(os.Stderr, "standin engine: %v\n", err)
	}
	return status
}
