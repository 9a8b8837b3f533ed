package batch

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// The kinds of allocations, as Allocations lists them.
const (
	kindReservation = "reservation"
	kindImport      = "import"
	kindExport      = "export"
)

type allocationKey struct{ kind, id string }

// allocation is a reservation, an import or an export. It takes memory until it
// is freed or expires.
type allocation struct {
	tokens       int       // 0 for an export, which pins blocks instead
	expires      time.Time // zero for never
	pinned       []uint64  // pinned blocks of an export
	imported     []uint64  // blocks that an import adds to the cache when it ends
	organisation string
}

// usedTokens returns the memory that can't be evicted: that of streams, of
// allocations and of pinned blocks.
func (e *Engine) usedTokens() int {
	return e.privateTokens + e.allocatedTokens + e.cache.pinnedTokens()
}

// freeTokens returns the memory that a new stream can take. Idle blocks count as
// free, since they can be evicted.
func (e *Engine) freeTokens() int { return e.cfg.CapacityTokens - e.usedTokens() }

// evictExcess evicts idle blocks until idle and used memory fit the capacity.
func (e *Engine) evictExcess() {
	for e.usedTokens()+e.cache.idleTokens() > e.cfg.CapacityTokens && e.cache.evict() {
	}
}

// allocatePrivate takes memory for the part of a stream's KV cache that is not in
// shared blocks.
func (e *Engine) allocatePrivate(s *stream, tokens int) {
	s.privateTokens = tokens
	e.privateTokens += tokens
	e.evictExcess()
}

// reservedTokens returns the size of a reservation, or 0 if there is none.
func (e *Engine) reservedTokens(id string) int {
	if a := e.allocations[allocationKey{kindReservation, id}]; a != nil {
		return a.tokens
	}
	return 0
}

// release deletes an allocation and returns false if there is none. It adds the
// blocks of an import to the cache.
func (e *Engine) release(key allocationKey) bool {
	a := e.allocations[key]
	if a == nil {
		return false
	}
	delete(e.allocations, key)
	e.allocatedTokens -= a.tokens
	e.cache.unpin(a.pinned)
	// store pins the imported blocks; unpin makes them idle again.
	for i := range a.imported {
		e.cache.store(a.organisation, a.imported, i)
	}
	e.cache.unpin(a.imported)
	e.evictExcess()
	return true
}

func (e *Engine) allocate(key allocationKey, a *allocation) {
	e.allocations[key] = a
	e.allocatedTokens += a.tokens
	e.evictExcess()
}

// expiry returns the time after a time to live, or zero if it is 0 or less.
func expiry(ttlMillis int64) time.Time {
	if ttlMillis <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ttlMillis) * time.Millisecond)
}

// Reserve takes memory for a later stream or import. It replaces a reservation
// of the same id. If the tokens do not fit, it refuses with status 429 and keeps
// the old reservation.
func (e *Engine) Reserve(req Reservation) error {
	if req.ID == "" || req.Tokens <= 0 {
		return refuse(http.StatusBadRequest, "id or tokens are missing")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if free := e.freeTokens() + e.reservedTokens(req.ID); req.Tokens > free {
		return noMemory(req.Tokens, free)
	}
	key := allocationKey{kindReservation, req.ID}
	e.release(key)
	e.allocate(key, &allocation{tokens: req.Tokens, expires: expiry(req.TTLMillis)})
	return nil
}

// FreeReservation deletes a reservation and returns false if there is none.
func (e *Engine) FreeReservation(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.release(allocationKey{kindReservation, id})
}

// Import takes memory for KV cache of another engine, and returns the number of tokens
// that the import holds. A call with the id of an existing import renews that import. An
// import that is not renewed expires after the time to live in the request, or after
// ImportTTL if the request gives none. If the request names an existing
// reservation, the import takes at most the reserved tokens and replaces the reservation.
func (e *Engine) Import(req ImportRequest) (int, error) {
	if req.ID == "" {
		return 0, refuse(http.StatusBadRequest, "id is missing")
	}
	if req.TTLMillis <= 0 {
		req.TTLMillis = ImportTTL.Milliseconds()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := allocationKey{kindImport, req.ID}
	if a := e.allocations[key]; a != nil {
		a.expires = expiry(req.TTLMillis)
		return a.tokens, nil
	}
	if req.Renew {
		return 0, refuse(http.StatusNotFound, "no such import")
	}
	a := &allocation{tokens: req.Tokens, expires: expiry(req.TTLMillis), organisation: req.Organisation}
	reserved := e.reservedTokens(req.Reservation)
	if reserved > 0 {
		a.tokens = min(req.Tokens, reserved)
	}
	if free := e.freeTokens() + reserved; a.tokens <= 0 || a.tokens > free {
		return 0, noMemory(req.Tokens, free)
	}
	for _, prefix := range req.Prefixes {
		hash, err := strconv.ParseUint(prefix, 16, 64)
		if err != nil {
			return 0, refuse(http.StatusBadRequest, "prefix is not a hash")
		}
		a.imported = append(a.imported, hash)
	}
	e.release(allocationKey{kindReservation, req.Reservation})
	e.allocate(key, a)
	return a.tokens, nil
}

// Export pins a cached prefix and returns its length in tokens and the hashes
// that an Import of it needs.
func (e *Engine) Export(req ExportRequest) (ExportResponse, error) {
	hash, err := strconv.ParseUint(req.Prefix, 16, 64)
	if err != nil || req.ID == "" {
		return ExportResponse{}, refuse(http.StatusBadRequest, "id or prefix is not valid")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	hashes := e.cache.prefixBlocks(hash)
	if hashes == nil || e.cache.blocks[hash].organisation != req.Organisation {
		return ExportResponse{}, refuse(http.StatusNotFound, "prefix is not cached")
	}
	key := allocationKey{kindExport, req.ID}
	if e.allocations[key] != nil {
		return ExportResponse{}, refuse(http.StatusConflict, "export id is in use")
	}
	a := &allocation{pinned: hashes, expires: expiry(req.TTLMillis)}
	e.cache.pin(a.pinned)
	e.allocate(key, a)
	out := ExportResponse{ID: req.ID, Tokens: len(hashes) * blockTokens}
	for _, h := range hashes {
		out.Prefixes = append(out.Prefixes, formatHash(h))
	}
	return out, nil
}

// FreeKV deletes the import and the export with this id. It returns false if
// there is neither.
func (e *Engine) FreeKV(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	imported := e.release(allocationKey{kindImport, id})
	exported := e.release(allocationKey{kindExport, id})
	return imported || exported
}

// Allocations lists imports, exports and reservations, ordered by kind and id.
func (e *Engine) Allocations() []Allocation {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Allocation, 0, len(e.allocations))
	for key, a := range e.allocations {
		item := Allocation{ID: key.id, Kind: key.kind, Tokens: a.tokens + len(a.pinned)*blockTokens}
		if !a.expires.IsZero() {
			item.ExpiresMillis = time.Until(a.expires).Milliseconds()
		}
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b Allocation) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// importOnMembers makes members import the overflow, which is the part of a
// stream's KV cache that does not fit on this engine. It fills the members in the
// order of the request, and renews their imports until the stream ends. If the
// overflow does not fit, it frees the imports and returns a refusal.
func (e *Engine) importOnMembers(ctx context.Context, s *stream, overflow int) error {
	if e.cfg.Peers == nil {
		return refuse(http.StatusTooManyRequests, "this engine reaches no members")
	}
	var members []string
	for _, address := range s.req.Members {
		if overflow <= 0 {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
		n, err := e.cfg.Peers.Import(callCtx, address, ImportRequest{
			ID: s.req.ID, Reservation: s.req.Reservation, Tokens: overflow,
		})
		cancel()
		// A call that failed may have created the import, so it is freed too.
		members = append(members, address)
		if err != nil {
			e.freeImports(ctx, s.req.ID, members)
			return refuse(http.StatusTooManyRequests, "member %s refuses: %v", address, err)
		}
		overflow -= n
	}
	if overflow > 0 {
		e.freeImports(ctx, s.req.ID, members)
		return refuse(http.StatusTooManyRequests, "%d tokens fit no member", overflow)
	}
	e.background.Go(func() { e.renewImports(s, members) })
	return nil
}

// renewImports renews the imports of a stream on its members until the stream or
// Run ends, and then frees them. The stream fails when a renewal fails.
func (e *Engine) renewImports(s *stream, members []string) {
	ctx := e.ctx
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	defer e.freeImports(ctx, s.req.ID, members)
	for {
		select {
		case <-s.ended:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if e.cfg.Control.Wait(ctx) != nil {
			return
		}
		if err := e.renewOnce(ctx, s.req.ID, members); err != nil {
			e.mu.Lock()
			e.end(s, err.Error())
			e.mu.Unlock()
			return
		}
	}
}

// renewOnce renews the import on each member.
func (e *Engine) renewOnce(ctx context.Context, id string, members []string) error {
	for _, address := range members {
		callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
		_, err := e.cfg.Peers.Import(callCtx, address, ImportRequest{ID: id, Renew: true})
		cancel()
		if err != nil {
			return fmt.Errorf("member %s is lost: %w", address, err)
		}
	}
	return nil
}

// freeImports frees the import on each member, even if ctx has ended.
func (e *Engine) freeImports(ctx context.Context, id string, members []string) {
	for _, address := range members {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), memberTimeout)
		// On a member that can't be reached the import expires after ImportTTL.
		_ = e.cfg.Peers.Free(callCtx, address, id)
		cancel()
	}
}
