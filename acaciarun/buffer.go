package acaciarun

// buffer holds bytes in blocks, so that it grows without being copied: the garbage of large buffers that double came faster
// than it was collected. All blocks but the last one are full. Bytes that have been returned don't change.
type buffer struct {
	blocks [][]byte
	// start is how many bytes of the first block are discarded.
	start int
	// size is the number of bytes, capacity that for which memory is held.
	size     int
	capacity int
}

const blockBytes = 64 << 10

// append adds data at the end.
func (b *buffer) append(data []byte) {
	for len(data) > 0 {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == blockBytes {
			b.addBlock()
			continue
		}
		block := b.blocks[last]
		n := min(len(data), blockBytes-len(block))
		b.blocks[last] = append(block, data[:n]...)
		b.capacity += cap(b.blocks[last]) - cap(block)
		b.size += n
		data = data[n:]
	}
}

// addBlock adds an empty block. The first one grows as needed, because most answers are short.
func (b *buffer) addBlock() {
	var block []byte
	if len(b.blocks) > 0 {
		block = make([]byte, 0, blockBytes)
	}
	b.blocks = append(b.blocks, block)
	b.capacity += cap(block)
}

// from returns the bytes of one block from an index on, none if the index is the size.
func (b *buffer) from(index int) []byte {
	if index >= b.size {
		return nil
	}
	index += b.start
	block := b.blocks[index/blockBytes][index%blockBytes:]
	return block[:len(block):len(block)]
}

// discard discards the first count bytes.
func (b *buffer) discard(count int) {
	b.size -= count
	b.start += count
	for len(b.blocks) > 1 && b.start >= blockBytes {
		b.capacity -= cap(b.blocks[0])
		b.blocks[0] = nil
		b.blocks = b.blocks[1:]
		b.start -= blockBytes
	}
	// What is copied is no more than what has been discarded.
	if len(b.blocks) == 1 && b.start >= b.size {
		block := append([]byte(nil), b.blocks[0][b.start:]...)
		b.blocks[0], b.start, b.capacity = block, 0, cap(block)
	}
}
