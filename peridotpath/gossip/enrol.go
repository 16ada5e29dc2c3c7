package gossip

import (
	"context"
	"net/netip"
	"time"
)

// joinResult is the outcome of asking registrars.
type joinResult int

const (
	// joinAccepted: one has registered this instance.
	joinAccepted joinResult = iota
	// joinNone: none is listed.
	joinNone
	// joinRefused: none has answered, registers others now and has room.
	joinRefused
)

// join joins the group of a registrar, or stays in it. Where none of the data centre is listed, or
// none accepts this instance for several rounds, this instance becomes one.
func (registry *Registry) join(ctx context.Context) error {
	result := registry.askRegistrars(ctx)
	if result == joinNone {
		if err := registry.refreshPeers(ctx, registry.Store.ListStale); err != nil {
			return err
		}
		result = registry.askRegistrars(ctx)
	}
	switch result {
	case joinAccepted:
		return nil
	case joinRefused:
		registry.registrar = netip.AddrPort{}
		if registry.failedJoins++; registry.failedJoins < maxFailedJoins {
			if err := registry.refreshPeers(ctx, registry.Store.ListStale); err != nil {
				return err
			}
			return errUnregistered
		}
	}
	// A consistent list has the registrars of the last moments, so that few become one at once.
	if err := registry.refreshPeers(ctx, registry.Store.List); err != nil {
		return err
	}
	if registry.askRegistrars(ctx) == joinAccepted {
		return nil
	}
	return registry.maintainEntry(ctx)
}

// askRegistrars asks the listed registrars of the data centre, first the one that registers this
// instance already: it need not write for it.
func (registry *Registry) askRegistrars(ctx context.Context) joinResult {
	candidates := registry.list.registrarsOf(registry.DataCentre, registry.Address)
	for i, candidate := range candidates {
		if candidate.Address == registry.registrar || !registry.registrar.IsValid() && candidate.Address == registry.registrarBefore {
			candidates[0], candidates[i] = candidates[i], candidates[0]
		}
	}
	if len(candidates) == 0 {
		return joinNone
	}
	asked := 0
	for _, candidate := range candidates {
		if refusedAt, refused := registry.refusedAt[candidate.Address]; refused && time.Since(refusedAt) < refusalMemory {
			continue
		}
		if registry.askRegistrar(ctx, candidate) {
			return joinAccepted
		}
		if registry.refusedAt == nil {
			registry.refusedAt = map[netip.AddrPort]time.Time{}
		}
		registry.refusedAt[candidate.Address] = time.Now()
		if asked++; asked == maxRegistrarsTried {
			break
		}
	}
	return joinRefused
}

// askRegistrar reports whether a registrar registers this instance.
func (registry *Registry) askRegistrar(ctx context.Context, registrar Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	self := Peer{Address: registry.Address, DataCentre: registry.DataCentre, SnapshotPort: registry.SnapshotPort}
	reply, err := registry.Join(ctx, registrar, JoinRequest{Instance: self, Content: registry.list.Content})
	if err != nil || !reply.Accepted {
		registry.Log.Info().Err(err).Stringer("registrar", registrar.Address).Bool("full", reply.Full).Msg("group_not_joined")
		return false
	}
	if registry.registrar != registrar.Address {
		registry.Log.Info().Stringer("registrar", registrar.Address).Stringer("before", registry.registrar).Msg("group_joined")
	}
	registry.registrar, registry.failedJoins, registry.refusedAt = registrar.Address, 0, nil
	registry.listedAt = time.Now()
	if reply.List.Peers != nil {
		registry.setList(reply.List)
	}
	return true
}
