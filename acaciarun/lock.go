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

// LockKey reserves an idempotency key for a request, so that no other request with
// this key can run at this agent. If another request holds the key, by a lock or a
// run, LockKey returns that request and its entry. If the run of the key was
// dropped, no request can lock the key and the returned holder is empty.
func (s *Store) LockKey(keyHash, requestID, entry string) (holder, holderEntry string, locked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run, ok := s.runsByKey[keyHash]; ok && run.RequestID != requestID {
		return run.RequestID, run.Entry, false
	}
	if held, ok := s.locks[keyHash]; ok && held.requestID != requestID {
		return held.requestID, held.entry, false
	}
	if _, dropped := s.dropped[keyHash]; dropped {
		return "", "", false
	}
	s.locks[keyHash] = lock{requestID: requestID, entry: entry, acquiredAt: s.now()}
	return requestID, entry, true
}

// UnlockKey releases the lock on a key if the request holds it.
func (s *Store) UnlockKey(keyHash, requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[keyHash].requestID == requestID {
		delete(s.locks, keyHash)
	}
}

// KeyHolder returns the request that holds a key at this agent by a run or a lock,
// and its entry. Both are empty if no request holds the key.
func (s *Store) KeyHolder(keyHash string) (requestID, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run, ok := s.runsByKey[keyHash]; ok {
		return run.RequestID, run.Entry
	}
	held := s.locks[keyHash]
	return held.requestID, held.entry
}

// lockedByOther reports whether another request holds the lock on a key.
func (s *Store) lockedByOther(keyHash, requestID string) bool {
	held, ok := s.locks[keyHash]
	return ok && held.requestID != requestID
}

func (s *Store) expireLocks(now time.Time) {
	for keyHash, held := range s.locks {
		if now.Sub(held.acquiredAt) > s.settings.KeyedRetention {
			delete(s.locks, keyHash)
		}
	}
}
