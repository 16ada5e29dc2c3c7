package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

// changeFlags holds the flags of a command that changes the configuration.
type changeFlags struct {
	wait        bool
	waitTimeout time.Duration
	changeID    string
}

const (
	defaultWaitTimeout = 30 * time.Second
	// pollInterval is well below the second within which a change usually
	// reaches every instance, and causes few calls while an operator waits.
	pollInterval = 200 * time.Millisecond
	// maxSendTime is the time after which no further attempt starts. While the
	// platform hangs an attempt takes an instance up to 15 s, which is too long
	// to repeat on every instance.
	maxSendTime = 15 * time.Second
	// maxSendRounds is how many times a change is sent to all servers while its
	// outcome is undecided.
	maxSendRounds = 3
)

func (changeFlags *changeFlags) setFlags(flags *flag.FlagSet) {
	flags.BoolVar(&changeFlags.wait, "wait", false, "return when the change is in force on every live instance")
	flags.DurationVar(&changeFlags.waitTimeout, "wait-timeout", defaultWaitTimeout, "how long --wait waits")
	flags.StringVar(&changeFlags.changeID, "change-id", "", "id of an earlier try whose outcome is unknown")
}

// commit sends a change, prints the outcome and, with --wait, waits until the
// change is active on every live instance.
func (console *console) commit(ctx context.Context, changeFlags *changeFlags, request *pb.ChangeRequest) error {
	response, err := console.send(ctx, changeFlags, request)
	if err != nil {
		return err
	}
	if err := console.showAccepted(request, response); err != nil {
		return err
	}
	return console.await(ctx, changeFlags, map[string]uint64{response.Document: response.Revision})
}

// send sends a change until its outcome is certain, always with the same change
// id, which makes retries idempotent. The outcome is unknown if a response is lost,
// whether between the platform and the instance or between the instance and
// peridotctl.
func (console *console) send(ctx context.Context, changeFlags *changeFlags, request *pb.ChangeRequest) (*pb.ChangeResponse, error) {
	clients, err := console.clients()
	if err != nil {
		return nil, err
	}
	request.Who, request.ChangeId = console.who, changeFlags.changeID
	if request.ChangeId == "" {
		request.ChangeId = console.newID()
	}
	outcomeUnknown, reason, begin := false, "", time.Now()
	for range maxSendRounds {
		for _, client := range clients {
			if time.Since(begin) > maxSendTime {
				break
			}
			response, err := call(ctx, client, pb.Operator.Change, request)
			switch {
			case neverSent(err):
				reason = err.Error()
			case err != nil:
				outcomeUnknown, reason = true, err.Error()
			case response.Outcome == pb.Outcome_OUTCOME_UNKNOWN:
				outcomeUnknown, reason = true, response.Reason
			case response.Outcome == pb.Outcome_OUTCOME_NOT_ACCEPTED:
				reason = response.Reason
			default:
				return response, console.refusalError(request, response)
			}
		}
		console.sleep(ctx, pollInterval)
	}
	if outcomeUnknown {
		return nil, &exitError{exitUnknown, fmt.Sprintf("outcome unknown: %s\nsend it again with --change-id %s", reason, request.ChangeId)}
	}
	return nil, &exitError{exitFailure, "nothing changed: " + reason}
}

// neverSent reports whether the call failed before a connection was made, so that
// it cannot have had an effect.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// refusalError returns the error for a conflict or for faults, or nil if the
// change was accepted.
func (console *console) refusalError(request *pb.ChangeRequest, response *pb.ChangeResponse) error {
	switch response.Outcome {
	case pb.Outcome_OUTCOME_FAULTS:
		return faultsFromProto(response.Faults)
	case pb.Outcome_OUTCOME_CONFLICT:
		if err := console.showConflict(request, response); err != nil {
			return err
		}
		return &exitError{code: exitConflict}
	default:
		return nil
	}
}

func (console *console) showAccepted(request *pb.ChangeRequest, response *pb.ChangeResponse) error {
	return console.show(response, func(out io.Writer) {
		verb := "changed"
		if request.Delete {
			verb = "deleted"
		}
		fmt.Fprintf(out, "%s %s %s: revision %d of %s\n", request.Kind, request.Name, verb, response.Revision, response.Document)
	})
}

// showConflict prints both sides of a conflict.
func (console *console) showConflict(request *pb.ChangeRequest, response *pb.ChangeResponse) error {
	conflict := response.Conflict
	return console.show(response, func(out io.Writer) {
		fmt.Fprintf(out, "conflict: %s %s is at revision %d, your change is based on %d; nothing changed\n",
			request.Kind, request.Name, conflict.Current, conflict.Base)
		if last := conflict.Last; last != nil {
			fmt.Fprintf(out, "changed last by %s at %s, change %s\n", last.Who, formatTime(last.WhenMs), last.ChangeId)
		}
		fmt.Fprintf(out, "field\ttheirs\tyours\n")
		for _, field := range diffFields(conflict.Theirs, conflict.Yours) {
			fmt.Fprintf(out, "%s\t%s\t%s\n", field.Field, field.Before, field.After)
		}
	})
}

// await waits until every live instance has each document at its revision or a
// higher one.
func (console *console) await(ctx context.Context, changeFlags *changeFlags, revisions map[string]uint64) error {
	if !changeFlags.wait {
		return nil
	}
	for waited := time.Duration(0); ; waited += pollInterval {
		lagging, err := console.laggingInstances(ctx, revisions)
		if err != nil {
			return err
		}
		if len(lagging) == 0 {
			fmt.Fprintln(console.err, "in force on every live instance")
			return nil
		}
		if waited >= changeFlags.waitTimeout || ctx.Err() != nil {
			return &exitError{exitTimeout, fmt.Sprintf("accepted, but not in force after %s on %s", changeFlags.waitTimeout, strings.Join(lagging, ", "))}
		}
		console.sleep(ctx, pollInterval)
	}
}

// laggingInstances returns the instances that have a lower revision or did not
// respond.
func (console *console) laggingInstances(ctx context.Context, revisions map[string]uint64) ([]string, error) {
	var lagging []string
	for _, document := range slices.Sorted(maps.Keys(revisions)) {
		revision := revisions[document]
		response, err := callAny(ctx, console, pb.Operator.Applied, &pb.AppliedRequest{Document: document})
		if err != nil {
			return nil, err
		}
		for _, instance := range response.Instances {
			switch {
			case instance.Error != "":
				lagging = append(lagging, fmt.Sprintf("%s (%s)", instance.Instance, instance.Error))
			case instance.Revision < revision:
				lagging = append(lagging, fmt.Sprintf("%s (%s at %d)", instance.Instance, document, instance.Revision))
			}
		}
	}
	return lagging, nil
}

func formatTime(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }
