package acaciamemory

// bound is the most bytes that all holders may hold together, which can change meanwhile.
//
// A lower bound must end no request by itself, so that it comes into force as far as memory is released: until then,
// requests get memory, and give way, as under the former bound less what has been released.
type bound struct {
	// limit is in force, target what it becomes; zero for no limit.
	limit, target int64
}

func newBound(limit int64) bound {
	return bound{limit: limit, target: limit}
}

// set changes the bound while a number of bytes is held.
func (b *bound) set(target, held int64) {
	b.target = target
	if b.limit == 0 {
		b.limit = held
	}
	if target == 0 || target >= b.limit || held <= target {
		b.limit = target
	}
}

// release records that a number of bytes has been released and how many are still held.
func (b *bound) release(bytes, held int64) {
	if b.limit == b.target {
		return
	}
	b.limit = max(b.limit-bytes, b.target)
	if held <= b.target {
		b.limit = b.target
	}
}
