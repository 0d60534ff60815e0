package acaciarun

import "time"

// lock says that one request alone may run with a key here. Locks stand in for the
// platform's log while it is down: an entry needs them from every agent of the
// service.
type lock struct {
	requestID string
	entry     string
	at        time.Time
}

// Lock keeps all requests but one with a key from running here. When another
// request holds the key, by a lock or a run, it returns that request and its entry.
func (b *Book) Lock(keyHash, requestID, entry string) (holder, holderEntry string, locked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run, ok := b.keys[keyHash]; ok && run.RequestID != requestID {
		return run.RequestID, run.Entry, false
	}
	if held, ok := b.locks[keyHash]; ok && held.requestID != requestID {
		return held.requestID, held.entry, false
	}
	if _, dropped := b.dropped[keyHash]; dropped {
		return "", "", false
	}
	b.locks[keyHash] = lock{requestID: requestID, entry: entry, at: b.now()}
	return requestID, entry, true
}

// Unlock gives a request's lock back.
func (b *Book) Unlock(keyHash, requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.locks[keyHash].requestID == requestID {
		delete(b.locks, keyHash)
	}
}

// Holder returns the request that holds a key here, and its entry.
func (b *Book) Holder(keyHash string) (requestID, entry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run, ok := b.keys[keyHash]; ok {
		return run.RequestID, run.Entry
	}
	held := b.locks[keyHash]
	return held.requestID, held.entry
}

// lockedFor reports whether a lock keeps a request from running.
func (b *Book) lockedFor(keyHash, requestID string) bool {
	held, ok := b.locks[keyHash]
	return ok && held.requestID != requestID
}

func (b *Book) expireLocks(now time.Time) {
	for keyHash, held := range b.locks {
		if now.Sub(held.at) > b.settings.KeyedLife {
			delete(b.locks, keyHash)
		}
	}
}
