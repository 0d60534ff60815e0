package acaciarun

import "time"

// lock reserves an idempotency key at this agent for one request. Locks are used in
// place of the platform's log while it is down: an entry needs the lock from every
// agent of the service.
type lock struct {
	requestID  string
	entry      string
	acquiredAt time.Time
}

// Lock reserves an idempotency key for a request, so that no other request with this
// key can run at this agent. If another request holds the key, by a lock or a run,
// Lock returns that request and its entry. If the run of the key was dropped, no
// request can lock the key and the returned holder is empty.
func (b *Book) Lock(keyHash, requestID, entry string) (holder, holderEntry string, locked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run, ok := b.runsByKey[keyHash]; ok && run.RequestID != requestID {
		return run.RequestID, run.Entry, false
	}
	if held, ok := b.locks[keyHash]; ok && held.requestID != requestID {
		return held.requestID, held.entry, false
	}
	if _, dropped := b.dropped[keyHash]; dropped {
		return "", "", false
	}
	b.locks[keyHash] = lock{requestID: requestID, entry: entry, acquiredAt: b.now()}
	return requestID, entry, true
}

// Unlock releases the lock on a key if the request holds it.
func (b *Book) Unlock(keyHash, requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.locks[keyHash].requestID == requestID {
		delete(b.locks, keyHash)
	}
}

// Holder returns the request that holds a key at this agent by a run or a lock, and
// its entry. Both are empty if no request holds the key.
func (b *Book) Holder(keyHash string) (requestID, entry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run, ok := b.runsByKey[keyHash]; ok {
		return run.RequestID, run.Entry
	}
	held := b.locks[keyHash]
	return held.requestID, held.entry
}

// lockedByOther reports whether another request holds the lock on a key.
func (b *Book) lockedByOther(keyHash, requestID string) bool {
	held, ok := b.locks[keyHash]
	return ok && held.requestID != requestID
}

func (b *Book) expireLocks(now time.Time) {
	for keyHash, held := range b.locks {
		if now.Sub(held.acquiredAt) > b.settings.KeyedLife {
			delete(b.locks, keyHash)
		}
	}
}
