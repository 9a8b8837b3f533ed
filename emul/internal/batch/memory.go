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

// The kinds of holds.
const (
	kindReservation = "reservation"
	kindImport      = "import"
	kindExport      = "export"
)

type holdKey struct{ kind, id string }

// hold is memory that is taken until it is freed or expires.
type hold struct {
	tokens  int
	expires time.Time // zero for never
	hashes  []uint64  // pinned blocks of an export
	cached  []uint64  // blocks that a freed import adds to the cache
	scope   string
}

// used returns the memory that can't be evicted.
func (e *Engine) used() int { return e.private + e.held + e.cache.pinnedTokens() }

// free returns the memory that a new stream can take, evictable blocks included.
func (e *Engine) free() int { return e.cfg.CapacityTokens - e.used() }

// makeRoom evicts blocks until cached and used memory fit the capacity.
func (e *Engine) makeRoom() {
	for e.used()+e.cache.idleTokens() > e.cfg.CapacityTokens && e.cache.evict() {
	}
}

func (e *Engine) takePrivate(s *stream, tokens int) {
	s.private = tokens
	e.private += tokens
	e.makeRoom()
}

func (e *Engine) reserved(id string) int {
	if h := e.holds[holdKey{kindReservation, id}]; h != nil {
		return h.tokens
	}
	return 0
}

func (e *Engine) release(key holdKey) bool {
	h := e.holds[key]
	if h == nil {
		return false
	}
	delete(e.holds, key)
	e.held -= h.tokens
	e.cache.unpin(h.hashes)
	for i := range h.cached {
		e.cache.store(h.scope, h.cached, i)
	}
	e.cache.unpin(h.cached)
	e.makeRoom()
	return true
}

func (e *Engine) hold(key holdKey, h *hold) {
	e.holds[key] = h
	e.held += h.tokens
	e.makeRoom()
}

func expiry(ttlMillis int64) time.Time {
	if ttlMillis <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ttlMillis) * time.Millisecond)
}

// Reserve takes memory for a later stream or import. A reservation of the same
// id is replaced. It refuses with status 429 what does not fit.
func (e *Engine) Reserve(req Reservation) error {
	if req.ID == "" || req.Tokens <= 0 {
		return refuse(http.StatusBadRequest, "id or tokens are missing")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if free := e.free() + e.reserved(req.ID); req.Tokens > free {
		return noMemory(req.Tokens, free)
	}
	key := holdKey{kindReservation, req.ID}
	e.release(key)
	e.hold(key, &hold{tokens: req.Tokens, expires: expiry(req.TTLMillis)})
	return nil
}

// FreeReservation deletes a reservation and returns false if there is none.
func (e *Engine) FreeReservation(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.release(holdKey{kindReservation, id})
}

// Import holds KV cache for another engine, and returns how many tokens. The
// import expires after ImportTTL, or the request's own time to live, unless it
// is renewed.
func (e *Engine) Import(req Import) (int, error) {
	if req.ID == "" {
		return 0, refuse(http.StatusBadRequest, "id is missing")
	}
	if req.TTLMillis <= 0 {
		req.TTLMillis = ImportTTL.Milliseconds()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := holdKey{kindImport, req.ID}
	if h := e.holds[key]; h != nil {
		h.expires = expiry(req.TTLMillis)
		return h.tokens, nil
	}
	if req.Renew {
		return 0, refuse(http.StatusNotFound, "no such import")
	}
	h := &hold{tokens: req.Tokens, expires: expiry(req.TTLMillis), scope: req.Organisation}
	reserved := e.reserved(req.Reservation)
	if reserved > 0 {
		h.tokens = min(req.Tokens, reserved)
	}
	if free := e.free() + reserved; h.tokens <= 0 || h.tokens > free {
		return 0, noMemory(req.Tokens, free)
	}
	for _, prefix := range req.Prefixes {
		hash, err := strconv.ParseUint(prefix, 16, 64)
		if err != nil {
			return 0, refuse(http.StatusBadRequest, "prefix is not a hash")
		}
		h.cached = append(h.cached, hash)
	}
	e.release(holdKey{kindReservation, req.Reservation})
	e.hold(key, h)
	return h.tokens, nil
}

// Export pins a cached prefix and returns its length in tokens and the hashes
// that an Import of it needs.
func (e *Engine) Export(req Export) (Exported, error) {
	hash, err := strconv.ParseUint(req.Prefix, 16, 64)
	if err != nil || req.ID == "" {
		return Exported{}, refuse(http.StatusBadRequest, "id or prefix is not valid")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	hashes := e.cache.chain(hash)
	if hashes == nil || e.cache.blocks[hash].organisation != req.Organisation {
		return Exported{}, refuse(http.StatusNotFound, "prefix is not cached")
	}
	key := holdKey{kindExport, req.ID}
	if e.holds[key] != nil {
		return Exported{}, refuse(http.StatusConflict, "export id is in use")
	}
	h := &hold{hashes: hashes, expires: expiry(req.TTLMillis)}
	e.cache.pin(h.hashes)
	e.hold(key, h)
	out := Exported{ID: req.ID, Tokens: len(hashes) * blockTokens}
	for _, h := range hashes {
		out.Prefixes = append(out.Prefixes, formatHash(h))
	}
	return out, nil
}

// FreeKV deletes an import and an export of this id. It returns false if there
// is neither.
func (e *Engine) FreeKV(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	imported := e.release(holdKey{kindImport, id})
	exported := e.release(holdKey{kindExport, id})
	return imported || exported
}

// Held lists imports, exports and reservations by kind and id.
func (e *Engine) Held() []Held {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Held, 0, len(e.holds))
	for key, h := range e.holds {
		item := Held{ID: key.id, Kind: key.kind, Tokens: h.tokens + len(h.hashes)*blockTokens}
		if !h.expires.IsZero() {
			item.ExpiresMillis = time.Until(h.expires).Milliseconds()
		}
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b Held) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// exportOverflow has members hold the tokens that do not fit here, in the order
// of the request, and keeps renewing them until the stream ends.
func (e *Engine) exportOverflow(ctx context.Context, s *stream, overflow int) error {
	if e.cfg.Peers == nil {
		return refuse(http.StatusTooManyRequests, "this engine reaches no members")
	}
	var holders []string
	for _, address := range s.req.Members {
		if overflow <= 0 {
			break
		}
		call, cancel := context.WithTimeout(ctx, memberTimeout)
		n, err := e.cfg.Peers.Import(call, address, Import{
			ID: s.req.ID, Reservation: s.req.Reservation, Tokens: overflow,
		})
		cancel()
		// A failed import may have taken effect, so that it is freed too.
		holders = append(holders, address)
		if err != nil {
			e.freeMembers(ctx, s.req.ID, holders)
			return refuse(http.StatusTooManyRequests, "member %s refuses: %v", address, err)
		}
		overflow -= n
	}
	if overflow > 0 {
		e.freeMembers(ctx, s.req.ID, holders)
		return refuse(http.StatusTooManyRequests, "%d tokens fit no member", overflow)
	}
	e.pending.Go(func() { e.renewMembers(s, holders) })
	return nil
}

// renewMembers runs until the stream or Run ends.
func (e *Engine) renewMembers(s *stream, holders []string) {
	ctx := e.ctx
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	defer e.freeMembers(ctx, s.req.ID, holders)
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
		if err := e.renew(ctx, s.req.ID, holders); err != nil {
			e.mu.Lock()
			e.end(s, err.Error())
			e.mu.Unlock()
			return
		}
	}
}

func (e *Engine) renew(ctx context.Context, id string, holders []string) error {
	for _, address := range holders {
		call, cancel := context.WithTimeout(ctx, memberTimeout)
		_, err := e.cfg.Peers.Import(call, address, Import{ID: id, Renew: true})
		cancel()
		if err != nil {
			return fmt.Errorf("member %s is lost: %w", address, err)
		}
	}
	return nil
}

// freeMembers frees imports even if ctx has ended.
func (e *Engine) freeMembers(ctx context.Context, id string, holders []string) {
	for _, address := range holders {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), memberTimeout)
		// A member that can't be reached frees the import after ImportTTL.
		_ = e.cfg.Peers.Free(call, address, id)
		cancel()
	}
}
